#pragma once

#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "messages/sync_messages.h"
#include "traffic/request_id.h"

namespace foxtail {

/// Request ids of one partition that may not be repeated. A repeat is told from
/// a first request for as long as the dispatcher keeps the partition.
class SeenRegistry {
 public:
  /// `known_since`: every id issued from then on is known. `retention`: how
  /// long ids are kept.
  SeenRegistry(WallTime known_since, Duration retention);

  /// Notes an id. Throws `Error(kRequestDuplicate)` when it was noted before
  /// and, unless it is `fresh`, `Error(kRequestUnverifiable)` when it is too
  /// old to tell.
  void Accept(const RequestId& id, bool fresh, WallTime now);

  /// Forgets an id whose request is known not to have run.
  void Forget(const RequestId& id);

  /// Drops ids older than the retention.
  void Expire(WallTime now);

  /// Returns the content to hand over.
  PartitionDedupState Export(PartitionNumber number) const;

  /// Takes in what another dispatcher handed over.
  void Import(const PartitionDedupState& memory);

  /// Hash by which an id is kept.
  static uint64_t HashOf(const RequestId& id);

  size_t size() const { return m_issued_at.size(); }

 private:
  WallTime m_complete_since;
  Duration m_retention;
  std::unordered_map<uint64_t, WallTime> m_issued_at;
};

}  // namespace foxtail
