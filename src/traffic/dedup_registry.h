#pragma once

#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "messages/sync_messages.h"
#include "traffic/request_id.h"

namespace foxtail {

/// Ids of the non-idempotent requests accepted for one partition. Detects
/// duplicates for as long as the dispatcher keeps the partition.
class DedupRegistry {
 public:
  /// `complete_since`: the registry contains every accepted id that was issued
  /// at or after this time. `id_retention`: how long ids are kept.
  DedupRegistry(WallTime complete_since, Duration id_retention);

  /// Records an id. Throws `Error(kRequestDuplicate)` if the id is already
  /// recorded. Throws `Error(kRequestUnverifiable)` if the id is too old to
  /// rule out an earlier request, unless it is `fresh` (never sent before).
  void Accept(const RequestId& id, bool fresh, WallTime now);

  /// Removes an id whose request is known not to have been executed.
  void Forget(const RequestId& id);

  /// Removes ids older than the retention.
  void Expire(WallTime now);

  /// Returns the state for the partition's next dispatcher.
  PartitionDedupState Export(PartitionNumber number) const;

  /// Adds the ids of the partition's previous dispatcher and adopts its
  /// `complete_since`.
  void Import(const PartitionDedupState& state);

  /// Returns the hash under which an id is stored.
  static uint64_t HashOf(const RequestId& id);

  size_t size() const { return m_issued_times.size(); }

 private:
  WallTime m_complete_since;
  Duration m_id_retention;
  std::unordered_map<uint64_t, WallTime> m_issued_times;
};

}  // namespace foxtail
