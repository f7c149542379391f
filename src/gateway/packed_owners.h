#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gateway/cluster_records.h"

namespace foxtail {

/// A server of an owners record.
struct PackedServer {
  std::string m_id;
  int64_t m_incarnation = 0;

  bool operator==(const PackedServer&) const = default;
};

/// A range of an owners record; the server is an index.
struct PackedRange {
  uint16_t m_first = 0;
  uint16_t m_last = 0;
  uint16_t m_server = 0;
  bool m_grant_confirmed = false;
};

/// An owners record as it is stored and sent: each server is named once, since
/// most own several ranges and the record goes to all daemons at each move.
struct PackedOwners {
  uint64_t m_epoch = 0;
  uint64_t m_number = 0;
  std::vector<PackedServer> m_servers;
  std::vector<PackedRange> m_ranges;

  /// Index of a range, and id of a server whose earlier right to it may not
  /// have ended.
  std::vector<std::pair<uint16_t, std::string>> m_previous;
};

/// Packs a record.
PackedOwners Pack(const OwnersRecord& record);

/// Unpacks a record. Throws `Error(kMessageMalformed)` for an index that is out
/// of range.
OwnersRecord Unpack(const PackedOwners& packed);

}  // namespace foxtail
