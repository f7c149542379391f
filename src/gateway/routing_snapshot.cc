#include "gateway/routing_snapshot.h"

#include <algorithm>

namespace foxtail {
namespace {

RoutedServer BuildServer(const ServerRow& server) {
  const BackendServerEntry& entry = server.m_entry;
  RoutedServer routed;
  routed.m_id = entry.m_id;
  routed.m_incarnation = entry.m_incarnation;
  routed.m_address = ParseAddress(entry.m_address);
  routed.m_data_centre = entry.m_data_centre;
  routed.m_software_version = entry.m_software_version;
  routed.m_slots = entry.m_slots;
  routed.m_cold_until = server.m_cold_until;
  routed.m_eligible = IsEligible(server);
  routed.m_send_until = TimePoint::max();
  routed.m_ended = server.m_ended;
  if (server.m_ended) {
    routed.m_send_until = TimePoint::min();
  } else if (!server.m_registered) {
    routed.m_send_until = server.m_deregistered_since + kDrainGracePeriod;
  } else if (!routed.m_eligible) {
    routed.m_send_until = server.m_draining_since + kDrainGracePeriod;
  }
  return routed;
}

std::vector<RoutedRange> BuildRanges(const OwnersRecord& record) {
  std::vector<RoutedRange> ranges;
  for (const OwnedRange& owned : record.m_ranges) {
    ranges.push_back({owned.m_range, owned.m_server, owned.m_grant_confirmed});
  }
  return ranges;
}

std::vector<ServerGroup> BuildGroups(const ServiceEndpoints& endpoints) {
  std::map<std::string, std::vector<const RoutedServer*>> by_data_centre;
  for (const auto& [id, server] : endpoints.m_servers) {
    if (!server.m_ended) {
      by_data_centre[server.m_data_centre].push_back(&server);
    }
  }
  std::vector<ServerGroup> groups;
  for (const auto& [data_centre, servers] : by_data_centre) {
    const uint32_t count = CountGroups(servers.size());
    const size_t first = groups.size();
    for (uint32_t number = 0; number < count; ++number) {
      groups.push_back({data_centre, number, 0});
    }
    for (const RoutedServer* server : servers) {
      groups[first + GroupOf(server->m_id, count)].m_slots +=
          server->m_eligible ? server->m_slots : 0;
    }
  }
  return groups;
}

// A member of an older era that has not responded to the request for the
// history would not respond to requests for permits either.
bool IsSilent(const GatewayTables& tables, const MemberRow& member) {
  return tables.m_store_era.m_history == EraHistory::kUnknown &&
         member.m_unconfirmed_until != TimePoint();
}

SchedulerMap BuildSchedulerMap(const GatewayTables& tables) {
  std::vector<SchedulingHost> hosts;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    const MemberRecord& record = member.m_record;
    if (!IsSilent(tables, member) && !record.m_scheduling_address.empty() &&
        record.m_processor_share > 0) {
      hosts.push_back({record.m_scheduling_address, record.m_data_centre,
                       record.m_processor_share});
    }
  });
  return SchedulerMap(std::move(hosts));
}

}  // namespace

const RoutedRange* ServiceEndpoints::FindRange(uint32_t key) const {
  const auto after = std::ranges::upper_bound(
      m_ranges, key, {},
      [](const RoutedRange& range) { return range.m_range.m_first; });
  if (after == m_ranges.begin() || !std::prev(after)->m_range.Contains(key)) {
    return nullptr;
  }
  return &*std::prev(after);
}

const ServiceEndpoints* RoutingSnapshot::FindEndpoints(
    const std::string& service) const {
  const auto found = m_endpoints.find(service);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

MemberPosition FindPosition(const GatewayTables& tables) {
  MemberPosition position;
  bool registered = false;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    const std::string& address = member.m_record.m_address;
    registered = registered || address == tables.m_self.m_address;
    position.m_index += address < tables.m_self.m_address ? 1 : 0;
  });
  position.m_members = registered ? tables.m_members.size() : 0;
  return position;
}

std::shared_ptr<const RoutingSnapshot> BuildSnapshot(
    const GatewayTables& tables) {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  // The hosts divide the cold-start rate among them. A host that does not know
  // their number would use all of it.
  if (tables.m_progress[kClusterRows].m_loaded &&
      tables.IsConfigurationUsable()) {
    snapshot->m_routes = tables.m_routes;
  }
  snapshot->m_servers_known = tables.IsLoaded(kServerRows);
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    RoutedServer routed = BuildServer(server);
    auto& servers = snapshot->m_endpoints[server.m_entry.m_service].m_servers;
    servers.emplace(routed.m_id, std::move(routed));
  });
  for (const auto& [service, record] : tables.m_owners) {
    snapshot->m_endpoints[service].m_ranges = BuildRanges(record);
  }
  for (auto& [service, endpoints] : snapshot->m_endpoints) {
    endpoints.m_groups = BuildGroups(endpoints);
  }
  snapshot->m_schedulers = BuildSchedulerMap(tables);

  tables.m_rollouts.ForEach([&](RolloutId, const RolloutRow& rollout) {
    auto& routed = snapshot->m_endpoints[rollout.m_service].m_rollout;
    routed = BuildRoutedRollout(rollout);
    if (routed) {
      routed->m_paused = tables.m_rollouts_paused && rollout.m_record &&
                         rollout.m_record->m_state == RolloutState::kRunning;
    }
  });
  snapshot->m_position = FindPosition(tables);
  snapshot->m_member_count = std::max<size_t>(1, tables.m_members.size());
  return snapshot;
}

}  // namespace foxtail
