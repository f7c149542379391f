#include "gateway/packed_owners.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {
namespace {

// A restarted server has two entries, one for each incarnation, until all its
// ranges have been granted to the new one.
uint16_t FindOrAddServer(std::vector<PackedServer>& servers,
                         PackedServer server) {
  const auto found = std::ranges::find(servers, server);
  if (found != servers.end()) {
    return static_cast<uint16_t>(found - servers.begin());
  }
  servers.push_back(std::move(server));
  return static_cast<uint16_t>(servers.size() - 1);
}

template <typename Elements>
auto& ElementAt(Elements& elements, size_t index) {
  if (index >= elements.size()) {
    throw Error(ErrorCode::kMessageMalformed, "index in an owners record");
  }
  return elements[index];
}

}  // namespace

PackedOwners Pack(const OwnersRecord& record) {
  PackedOwners packed;
  packed.m_epoch = record.m_epoch;
  packed.m_number = record.m_number;
  for (const OwnedRange& owned : record.m_ranges) {
    const auto index = static_cast<uint16_t>(packed.m_ranges.size());
    packed.m_ranges.push_back(
        {static_cast<uint16_t>(owned.m_range.m_first),
         static_cast<uint16_t>(owned.m_range.m_last),
         FindOrAddServer(packed.m_servers,
                         {owned.m_server, owned.m_incarnation}),
         owned.m_grant_confirmed});
    for (const PreviousOwner& previous : owned.m_previous_owners) {
      packed.m_previous_owners.push_back({index, previous});
    }
  }
  return packed;
}

OwnersRecord Unpack(const PackedOwners& packed) {
  OwnersRecord record;
  record.m_epoch = packed.m_epoch;
  record.m_number = packed.m_number;
  for (const PackedRange& range : packed.m_ranges) {
    const PackedServer& server = ElementAt(packed.m_servers, range.m_server);
    record.m_ranges.push_back({{range.m_first, range.m_last},
                               server.m_id,
                               server.m_incarnation,
                               range.m_grant_confirmed,
                               {}});
  }
  for (const PackedPreviousOwner& previous : packed.m_previous_owners) {
    ElementAt(record.m_ranges, previous.m_range)
        .m_previous_owners.push_back(previous.m_owner);
  }
  return record;
}

}  // namespace foxtail
