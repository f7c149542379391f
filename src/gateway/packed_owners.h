#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/cluster_records.h"

namespace foxtail {

/// A server in a packed owners record.
struct PackedServer {
  std::string m_id;
  int64_t m_incarnation = 0;

  bool operator==(const PackedServer&) const = default;
};

/// A range in a packed owners record. `m_server` is an index into
/// `PackedOwners::m_servers`.
struct PackedRange {
  uint16_t m_first = 0;
  uint16_t m_last = 0;
  uint16_t m_server = 0;
  bool m_grant_confirmed = false;
};

/// A previous owner in a packed owners record. `m_range` is an index into
/// `PackedOwners::m_ranges`.
struct PackedPreviousOwner {
  uint16_t m_range = 0;
  PreviousOwner m_owner;
};

/// An owners record as it is stored and sent. Ranges refer to their servers by
/// index, since most servers own several ranges and the record goes to all
/// gateways at each move.
struct PackedOwners {
  uint64_t m_epoch = 0;
  uint64_t m_number = 0;
  std::vector<PackedServer> m_servers;
  std::vector<PackedRange> m_ranges;
  std::vector<PackedPreviousOwner> m_previous_owners;
};

PackedOwners Pack(const OwnersRecord& record);

/// Throws `Error(kMessageMalformed)` if an index is out of range.
OwnersRecord Unpack(const PackedOwners& packed);

}  // namespace foxtail
