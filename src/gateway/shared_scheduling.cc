#include "gateway/shared_scheduling.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"
#include "gateway/scheduling_mode.h"

namespace foxtail {
namespace {

// Schedulers to ask, the preferred one first, before the host decides by its
// own knowledge.
constexpr size_t kSchedulers = 2;

// A server's scheduler answers the requests for one server, a group's those of
// a whole data centre for a service. Most groups then belong to the strong
// hosts, which have several times the processor time of the others.
constexpr double kServerWeightExponent = 1;
constexpr double kGroupWeightExponent = 3;

// A refused request asks no more groups than this.
constexpr size_t kMaxGroups = 3;

SchedulableServer ToSchedulable(const RoutedServer& server) {
  return {server.m_id,    server.m_incarnation, server.m_data_centre,
          server.m_slots, server.m_cold_until,  server.m_eligible};
}

}  // namespace

SharedScheduling::SharedScheduling(
    const GatewaySettings& settings,
    std::function<void(const std::string&)> on_failure)
    : m_mode(ParseSchedulingMode(settings)),
      m_link(settings.m_permits, std::move(on_failure)),
      m_chooser({},
                settings.m_data_centre,
                static_cast<uint32_t>(FastHash(settings.m_permits))) {}

void SharedScheduling::OnSnapshot(
    const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  m_snapshot = snapshot;
  m_on = snapshot->m_routes && !snapshot->m_schedulers.IsEmpty() &&
         AsksForPermits(m_mode, snapshot->m_routes->GetConfig());
  if (m_on) {
    for (const auto& [service, endpoints] : snapshot->m_endpoints) {
      RegisterServers(service, endpoints);
    }
  }
  m_link.WakeAll();
}

bool SharedScheduling::IsAmongSchedulers(const std::string& key,
                                         const std::string& data_centre,
                                         double weight_exponent) const {
  const auto ranked = m_snapshot->m_schedulers.Rank(
      key, data_centre, kSchedulers, weight_exponent);
  return std::ranges::any_of(ranked, [this](const SchedulingHost* host) {
    return host->m_address == m_link.GetAddress();
  });
}

// Registers only the servers that this host schedules, or would if the
// preferred scheduler fell silent: a host pays for each registered server in
// each run of its decisions. The servers of a service with keys are scheduled
// one by one, those of other services as the groups of their data centre.
void SharedScheduling::RegisterServers(const std::string& service,
                                       const ServiceEndpoints& endpoints) {
  const RoutedService* routed = m_snapshot->m_routes->FindService(service);
  const bool sharded = routed && routed->m_sharded;
  std::set<std::string> data_centres;
  for (const ServerGroup& group : endpoints.m_groups) {
    if (!sharded &&
        IsAmongSchedulers(
            GroupScheduleKey(service, group.m_data_centre, group.m_number),
            group.m_data_centre, kGroupWeightExponent)) {
      data_centres.insert(group.m_data_centre);
    }
  }
  std::vector<SchedulableServer> servers;
  for (const auto& [id, server] : endpoints.m_servers) {
    const bool scheduled =
        sharded ? IsAmongSchedulers(ServerScheduleKey(service, id),
                                    server.m_data_centre, kServerWeightExponent)
                : data_centres.contains(server.m_data_centre);
    if (scheduled && !server.m_ended) {
      servers.push_back(ToSchedulable(server));
    }
  }
  std::vector<SchedulableServer>& registered = m_registered[service];
  if (registered != servers) {
    m_link.SetServers(service, servers);
    registered = std::move(servers);
  }
}

PermitAnswer SharedScheduling::Ask(const PermitQuery& query,
                                   const std::string& data_centre,
                                   uint32_t group,
                                   const std::string& key,
                                   double weight_exponent,
                                   Duration& expected_wait) {
  PermitRequest request;
  request.m_service = query.m_service;
  request.m_server = query.m_owner ? query.m_owner->m_id : "";
  request.m_data_centre = data_centre;
  request.m_group = group;
  request.m_priority = query.m_priority;
  request.m_returning = query.m_returning;
  if (!query.m_owner) {
    request.m_excluded = {query.m_tried_servers.begin(),
                          query.m_tried_servers.end()};
  }
  std::vector<std::string> schedulers;
  for (const SchedulingHost* host : m_snapshot->m_schedulers.Rank(
           key, data_centre, kSchedulers, weight_exponent)) {
    schedulers.push_back(host->m_address);
  }
  PermitDecision decision;
  PermitAnswer answer;
  answer.m_ticket =
      m_link.Acquire(std::move(request), query.m_deadline, query.m_target_at,
                     std::move(schedulers), query.m_cancellation,
                     query.m_still_wanted, decision);
  answer.m_state = decision.m_state;
  answer.m_server = decision.m_server;
  answer.m_retry_after = decision.m_retry_after;
  expected_wait = decision.m_expected_wait;
  if (answer.m_state != PermitState::kGranted) {
    m_link.End(answer.m_ticket, {});
  }
  return answer;
}

PermitAnswer SharedScheduling::AskOwner(const PermitQuery& query) {
  Duration expected_wait{};
  return Ask(query, query.m_owner->m_data_centre, 0,
             ServerScheduleKey(query.m_service, query.m_owner->m_id),
             kServerWeightExponent, expected_wait);
}

// A group that refuses has no room for the request before its deadline, but
// another data centre may have. Refusals take no time, and reach no server.
PermitAnswer SharedScheduling::AskGroups(const PermitQuery& query) {
  PermitAnswer answer;
  std::vector<std::pair<std::string, uint32_t>> refused;
  while (refused.size() < kMaxGroups) {
    const auto snapshot = m_snapshot;
    const ServiceEndpoints* endpoints =
        snapshot->FindEndpoints(query.m_service);
    if (!endpoints) {
      break;
    }
    std::vector<const ServerGroup*> excluded;
    for (const ServerGroup& group : endpoints->m_groups) {
      if (std::ranges::find(refused,
                            std::pair(group.m_data_centre, group.m_number)) !=
          refused.end()) {
        excluded.push_back(&group);
      }
    }
    const ServerGroup* group = m_chooser.Choose(
        query.m_service, endpoints->m_groups, excluded, Clock::now());
    if (!group) {
      break;
    }
    Duration expected_wait{};
    answer = Ask(query, group->m_data_centre, group->m_number,
                 GroupScheduleKey(query.m_service, group->m_data_centre,
                                  group->m_number),
                 kGroupWeightExponent, expected_wait);
    if (answer.m_state == PermitState::kGranted ||
        answer.m_state == PermitState::kRefused) {
      m_chooser.OnWait(query.m_service, *group, expected_wait, Clock::now());
    }
    if (answer.m_state != PermitState::kRefused) {
      break;
    }
    refused.emplace_back(group->m_data_centre, group->m_number);
  }
  return answer;
}

PermitAnswer SharedScheduling::Acquire(const PermitQuery& query) {
  return query.m_owner ? AskOwner(query) : AskGroups(query);
}

}  // namespace foxtail
