#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/cluster_records.h"
#include "gateway/owners_change.h"

namespace foxtail {

/// Datagram from the leader to each member, through relays: changed rows of a
/// watched table.
struct RelayedRows {
  uint64_t m_epoch = 0;
  uint32_t m_kind = kOperatorRows;

  /// The rows are complete for a receiver that has applied all changes up to
  /// `m_from_version`: they bring it up to `m_to_version`.
  uint64_t m_from_version = 0;
  uint64_t m_to_version = 0;
  std::vector<StoredRow> m_rows;

  /// For how long the changes may have been in the store when the leader sent
  /// them, milliseconds.
  uint32_t m_age_ms = 0;

  /// Changed owners records, which are not among the rows.
  std::vector<OwnersChange> m_owners_changes;

  /// Members to which the receiver sends the message on.
  std::vector<std::string> m_followers;
};

}  // namespace foxtail
