#include "support/fake_rollout_traffic.h"

#include <utility>
#include <vector>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr size_t kBadResponsesOfLimit = 50;
constexpr uint32_t kRareRouteEvery = 10;
constexpr milliseconds kSlowFrom{200};

}  // namespace

void FakeRolloutHost::OnSnapshot(
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  m_splitter.Expire(*m_snapshot);
  m_meter.OnSnapshot(*m_snapshot);
}

void FakeRolloutTraffic::Run(FakeRolloutHost& host,
                             size_t hosts,
                             Duration step,
                             TimePoint now) {
  while (!host.m_in_flight.empty() && host.m_in_flight.begin()->first <= now) {
    const auto end = host.m_in_flight.begin()->second;
    host.m_in_flight.erase(host.m_in_flight.begin());
    end();
  }
  if (m_rate <= 0 || !host.m_snapshot || !host.m_snapshot->m_routes) {
    return;
  }
  if (m_started_at == TimePoint()) {
    m_started_at = now;
  }
  std::poisson_distribution<int> arrivals(m_rate * ToSeconds(step) /
                                          static_cast<double>(hosts));
  for (int i = arrivals(m_random); i > 0; --i) {
    const RoutedServer* server = Choose(host, now);
    if (server) {
      Send(host, *server, now);
    } else {
      ++m_unserved;
    }
  }
}

const RoutedServer* FakeRolloutTraffic::Choose(FakeRolloutHost& host,
                                               TimePoint now) {
  const ServiceEndpoints* endpoints = host.m_snapshot->FindEndpoints(m_service);
  if (!endpoints) {
    return nullptr;
  }
  if (m_sharded) {
    std::uniform_int_distribution<uint32_t> keys(0, kShardKeys - 1);
    const RoutedRange* range = endpoints->FindRange(keys(m_random));
    const auto owner = range && range->m_grant_confirmed
                           ? endpoints->m_servers.find(range->m_server)
                           : endpoints->m_servers.end();
    return owner != endpoints->m_servers.end() &&
                   now < owner->second.m_send_until &&
                   VersionChoice(*endpoints, std::nullopt).Allows(owner->second)
               ? &owner->second
               : nullptr;
  }
  std::optional<VersionGroup> group;
  if (endpoints->m_rollout) {
    group = host.m_splitter.Choose(m_service, *endpoints->m_rollout,
                                   host.m_snapshot->m_position);
  }
  const VersionChoice versions(*endpoints, group);
  std::vector<const RoutedServer*> allowed;
  for (const auto& [id, server] : endpoints->m_servers) {
    if (server.m_eligible && versions.Allows(server)) {
      allowed.push_back(&server);
    }
  }
  if (allowed.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<size_t> any(0, allowed.size() - 1);
  return allowed[any(m_random)];
}

void FakeRolloutTraffic::Send(FakeRolloutHost& host,
                              const RoutedServer& server,
                              TimePoint now) {
  const std::string version = server.m_software_version;
  const bool is_target = version == m_target;
  ++m_requests;
  m_target_requests += is_target ? 1 : 0;
  m_last_target_at = is_target ? now : m_last_target_at;
  m_sent_to_stopped += m_others_stopped && !is_target ? 1 : 0;
  std::uniform_int_distribution<uint32_t> routes(1, kRareRouteEvery);
  const std::string route = routes(m_random) == 1 ? "rare" : "main";
  const FakeResponse response = m_behaviour(
      {version, route, now - m_started_at, ++m_at_versions[version]});
  const auto in_flight = host.m_meter.OnSent(m_service, server, false);
  host.m_in_flight.emplace(
      now + response.m_latency, [this, &host, server, version, is_target, route,
                                 response, in_flight, now] {
        --m_at_versions[version];
        host.m_meter.OnEnded(m_service, route, server, response.m_result, false,
                             response.m_latency);
        const bool bad = response.m_result == AttemptResult::kFailed ||
                         response.m_latency >= kSlowFrom;
        m_target_bad += is_target && bad ? 1 : 0;
        if (m_target_bad >= kBadResponsesOfLimit && !m_limit_at) {
          m_limit_at = now + response.m_latency;
        }
      });
}

void FakeRolloutTraffic::OnHostLost(FakeRolloutHost& host) {
  for (const auto& [end_at, end] : std::exchange(host.m_in_flight, {})) {
    end();
  }
}

void FakeRolloutTraffic::OnStatus(RolloutState state, TimePoint now) {
  if (state == RolloutState::kRunning) {
    return;
  }
  m_ended_at = m_ended_at.value_or(now);
  if (state == RolloutState::kCompleted && !m_others_stopped) {
    m_others_stopped = true;
    for (const auto& [version, requests] : m_at_versions) {
      m_cut_off += version == m_target ? 0 : requests;
    }
  }
}

}  // namespace foxtail
