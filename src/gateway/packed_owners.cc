#include "gateway/packed_owners.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {
namespace {

// An owner that started again has two entries while its ranges are granted
// anew, one for each of its runs.
uint16_t IndexOf(std::vector<PackedServer>& servers, PackedServer server) {
  const auto found = std::ranges::find(servers, server);
  if (found != servers.end()) {
    return static_cast<uint16_t>(found - servers.begin());
  }
  servers.push_back(std::move(server));
  return static_cast<uint16_t>(servers.size() - 1);
}

template <typename Rows>
auto& RowAt(Rows& rows, size_t index) {
  if (index >= rows.size()) {
    throw Error(ErrorCode::kMessageMalformed, "index in an owners record");
  }
  return rows[index];
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
         IndexOf(packed.m_servers, {owned.m_server, owned.m_incarnation}),
         owned.m_grant_confirmed});
    for (const std::string& server : owned.m_previous) {
      packed.m_previous.emplace_back(index, server);
    }
  }
  return packed;
}

OwnersRecord Unpack(const PackedOwners& packed) {
  OwnersRecord record;
  record.m_epoch = packed.m_epoch;
  record.m_number = packed.m_number;
  for (const PackedRange& range : packed.m_ranges) {
    const PackedServer& server = RowAt(packed.m_servers, range.m_server);
    record.m_ranges.push_back({{range.m_first, range.m_last},
                               server.m_id,
                               server.m_incarnation,
                               range.m_grant_confirmed,
                               {}});
  }
  for (const auto& [index, server] : packed.m_previous) {
    RowAt(record.m_ranges, index).m_previous.push_back(server);
  }
  return record;
}

}  // namespace foxtail
