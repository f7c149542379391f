#include "gateway/rollout_meter.h"

#include "gateway/latency_class.h"

namespace foxtail {

void RolloutMeter::OnSnapshot(const RoutingSnapshot& snapshot) {
  std::erase_if(m_meters, [&snapshot](const auto& entry) {
    const ServiceEndpoints* endpoints = snapshot.FindEndpoints(entry.first);
    return !endpoints || !endpoints->m_rollout ||
           endpoints->m_rollout->m_target.empty();
  });
  for (const auto& [service, endpoints] : snapshot.m_endpoints) {
    if (!endpoints.m_rollout || endpoints.m_rollout->m_target.empty()) {
      continue;
    }
    Meter& meter = m_meters[service];
    if (meter.m_counts.m_order != endpoints.m_rollout->m_order) {
      meter = Meter();
    }
    meter.m_rollout = *endpoints.m_rollout;
    meter.m_counts.m_service = service;
    meter.m_counts.m_order = meter.m_rollout.m_order;
    meter.m_counts.m_step = meter.m_rollout.m_step;
  }
}

std::shared_ptr<void> RolloutMeter::OnSent(const std::string& service,
                                           const RoutedServer& server,
                                           bool is_retry) {
  const auto meter = m_meters.find(service);
  if (meter != m_meters.end()) {
    RolloutCounts& counts = meter->second.m_counts;
    counts.m_requests += is_retry ? 0 : 1;
    const VersionGroup group =
        meter->second.m_rollout.GroupOf(server.m_software_version);
    counts.m_target_requests += group == VersionGroup::kTarget ? 1 : 0;
  }
  if (server.m_software_version.empty()) {
    return nullptr;
  }
  uint32_t& in_flight = (*m_in_flight)[service][server.m_software_version];
  ++in_flight;
  // The map's elements stay where they are; it is kept for as long as needed.
  return {&in_flight, [map = m_in_flight](uint32_t* count) { --*count; }};
}

void RolloutMeter::OnEnded(const std::string& service,
                           const std::string& route,
                           const RoutedServer& server,
                           AttemptResult result,
                           bool was_cold,
                           Duration latency) {
  const auto found = m_meters.find(service);
  if (found == m_meters.end() || result == AttemptResult::kNoEvidence) {
    return;
  }
  RouteCounts& routes = found->second.m_routes[route];
  const bool is_target =
      found->second.m_rollout.GroupOf(server.m_software_version) ==
      VersionGroup::kTarget;
  VersionCounts& counts = is_target ? routes.m_target : routes.m_others;
  ++counts.m_ended;
  if (result == AttemptResult::kFailed) {
    ++counts.m_failed;
  } else if (!was_cold) {
    ++counts.m_latencies.at(LatencyClassOf(latency));
  }
}

std::vector<RolloutCounts> RolloutMeter::Collect() const {
  std::vector<RolloutCounts> collected;
  for (const auto& [service, meter] : m_meters) {
    RolloutCounts& counts = collected.emplace_back(meter.m_counts);
    if (meter.m_rollout.m_paused) {
      counts.m_step = 0;  // the share is not applied
    }
    for (const auto& [route, routes] : meter.m_routes) {
      counts.m_routes.push_back(routes);
      counts.m_routes.back().m_route = route;
    }
    const auto in_flight = m_in_flight->find(service);
    if (in_flight == m_in_flight->end()) {
      continue;
    }
    for (const auto& [version, requests] : in_flight->second) {
      counts.m_others_in_flight +=
          version == meter.m_rollout.m_target ? 0 : requests;
    }
  }
  return collected;
}

}  // namespace foxtail
