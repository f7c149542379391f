#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/cluster_records.h"
#include "gateway/packed_owners.h"

namespace foxtail {

/// The difference between two consecutive owners records of a service. A record
/// of hundreds of servers is two orders of magnitude larger than a change.
struct OwnersChange {
  std::string m_service;

  /// Version of the row that holds the new record.
  uint64_t m_row_version = 0;

  /// Number of the record that the change follows on.
  uint64_t m_base_number = 0;

  /// First keys of the ranges that are gone or have changed.
  std::vector<uint16_t> m_removed;

  /// Epoch and number of the new record, and its new or changed ranges.
  PackedOwners m_added;

  /// Digest of the whole new record.
  uint64_t m_digest = 0;
};

/// Returns a digest of all ranges of a record.
uint64_t DigestOf(const OwnersRecord& record);

/// Returns the change from one record to another.
OwnersChange BuildOwnersChange(const std::string& service,
                               uint64_t row_version,
                               const OwnersRecord& from,
                               const OwnersRecord& to);

/// Returns the record after a change, or nothing if the change does not follow
/// on `from` or the result differs from the sender's.
std::optional<OwnersRecord> ApplyOwnersChange(const OwnersRecord& from,
                                              const OwnersChange& change);

}  // namespace foxtail
