#include "gateway/range_placement_system.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <string_view>

#include "gateway/grant_log_system.h"
#include "gateway/range_planner.h"
#include "gateway/rollout_system.h"
#include "gateway/scheduling_mode.h"

namespace foxtail {
namespace {

// Below this rate the request counts don't show which keys are hot.
constexpr double kMinSignificantRate = 20;  // requests per second

// Time constant of the exponential smoothing of request counts. A hot key shows
// after about half of this time.
constexpr std::chrono::milliseconds kSmoothingTimeConstant{1500};

// Interval between two smoothing steps, equal to the period of the reports.
constexpr std::chrono::milliseconds kSmoothingInterval{400};

// Bounds of a server's service time, relative to the mean of its service.
constexpr double kMinServiceTimeFactor = 0.4;
constexpr double kMaxServiceTimeFactor = 2.5;

// Service time to plan with while no server of the service is measured.
constexpr double kDefaultServiceSeconds = 0.1;

void SmoothLoads(ServiceRow& service, const Now& now) {
  const Duration elapsed = now.m_steady - service.m_last_smoothed_at;
  if (elapsed < kSmoothingInterval) {
    return;
  }
  const bool first = service.m_last_smoothed_at == TimePoint();
  const double gain =
      1 - std::exp(-ToSeconds(elapsed) / ToSeconds(kSmoothingTimeConstant));
  service.m_last_smoothed_at = now.m_steady;
  for (uint32_t i = 0; i < kSlices; ++i) {
    const double rate =
        first ? 0 : service.m_slice_requests[i] / ToSeconds(elapsed);
    service.m_slice_rates[i] +=
        static_cast<float>(gain * (rate - service.m_slice_rates[i]));
    service.m_slice_requests[i] = 0;
  }
}

// Returns the means over those servers of a service that have measurements.
SpeedEstimate MeanSpeed(const GatewayTables& tables,
                        const std::string& service) {
  SpeedEstimate mean;
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    if (server.m_entry.m_service == service && server.m_speed.m_responses > 0) {
      mean.m_service_seconds += server.m_speed.m_service_seconds;
      mean.m_slowdown += server.m_speed.m_slowdown;
      ++mean.m_responses;
    }
  });
  if (mean.m_responses == 0) {
    return {kDefaultServiceSeconds, 0, 0};
  }
  mean.m_service_seconds /= mean.m_responses;
  mean.m_slowdown /= mean.m_responses;
  return mean;
}

// Returns the servers that may receive keys; targets are not set. Cold servers
// are returned only if there are no others.
std::vector<PlannedServer> FindCandidates(const GatewayTables& tables,
                                          const std::string& service,
                                          const Now& now) {
  const SpeedEstimate mean = MeanSpeed(tables, service);
  std::vector<PlannedServer> servers;
  std::vector<PlannedServer> cold;
  for (const auto& [id, server_id] : tables.m_servers_by_id) {
    const ServerRow& server = tables.m_servers.Get(server_id);
    if (server.m_entry.m_service != service || !IsEligible(server) ||
        server.m_consecutive_failures > 0 || !MayOwnKeys(tables, server)) {
      continue;
    }
    const double seconds =
        std::clamp(server.m_speed.ExpectedServiceSeconds(mean),
                   mean.m_service_seconds * kMinServiceTimeFactor,
                   mean.m_service_seconds * kMaxServiceTimeFactor);
    (now.m_steady < server.m_cold_until ? cold : servers)
        .push_back({id, server.m_entry.m_slots, seconds, 0});
  }
  return servers.empty() ? cold : servers;
}

double TotalDemand(const ServiceRow& service) {
  return std::accumulate(service.m_slice_rates.begin(),
                         service.m_slice_rates.end(), 0.0);
}

bool SplitsFinely(const GatewayTables& tables) {
  return tables.m_routes && AsksForPermits(tables.m_settings.m_scheduling,
                                           tables.m_routes->GetConfig());
}

SliceWeights BuildWeights(const GatewayTables& tables,
                          const ServiceRow& service,
                          double demand) {
  if (demand < kMinSignificantRate) {
    return {};
  }
  // An exponentially smoothed rate is as precise as a count over twice the time
  // constant.
  return {service.m_slice_rates, demand * 2 * ToSeconds(kSmoothingTimeConstant),
          SplitsFinely(tables) ? kFineSplitKeys : kCoarseSplitKeys};
}

struct ServiceRanges {
  std::vector<RangeId> m_ids;
  std::vector<PlannedRange> m_planned;
  bool m_has_move = false;
  bool m_needs_owner = false;
};

ServiceRanges CollectRanges(const GatewayTables& tables,
                            ServiceId service,
                            const Now& now) {
  ServiceRanges collected;
  tables.m_ranges.ForEach([&](RangeId id, const RangeRow& row) {
    if (row.m_service == service) {
      collected.m_ids.push_back(id);
    }
  });
  // Plans are sorted by key, and ApplyPlan compares plans with these ranges.
  std::ranges::sort(collected.m_ids, {}, [&tables](RangeId id) {
    return tables.m_ranges.Get(id).m_range;
  });
  for (const RangeId id : collected.m_ids) {
    const RangeRow& row = tables.m_ranges.Get(id);
    // A range that is moving to a server that may no longer own keys needs a
    // new owner.
    const bool kept = row.m_phase != RangePhase::kUnowned &&
                      MayKeepKeys(tables, row.m_owner, now);
    collected.m_has_move =
        collected.m_has_move || (kept && row.m_phase != RangePhase::kStable);
    collected.m_needs_owner = collected.m_needs_owner || !kept;
    collected.m_planned.push_back({row.m_range, kept ? row.m_owner : ""});
  }
  return collected;
}

bool HasServerWithoutKeys(const ServiceRanges& ranges,
                          const std::vector<PlannedServer>& servers) {
  std::set<std::string_view> owners;
  for (const PlannedRange& range : ranges.m_planned) {
    owners.insert(range.m_owner);
  }
  return std::ranges::any_of(servers, [&owners](const PlannedServer& server) {
    return !owners.contains(server.m_id);
  });
}

RangeRow BuildPieceRow(const GatewayTables& tables,
                       const RangeRow& whole,
                       const PlannedRange& planned,
                       uint64_t record_number,
                       const Now& now) {
  RangeRow row = whole;
  row.m_range = planned.m_range;
  row.m_call_in_flight = false;
  if (planned.m_owner == whole.m_owner) {
    return row;
  }
  if (whole.m_may_be_granted) {
    row.m_previous_owners.push_back(
        {whole.m_owner, now.m_steady < whole.m_late_grant_until});
  }
  row.m_taken_over = false;
  row.m_late_grant_until = TimePoint();
  row.m_late_grant_recorded = std::ranges::any_of(
      row.m_previous_owners, &PreviousOwner::m_has_late_grant);
  row.m_may_be_granted = false;
  row.m_owner = planned.m_owner;
  const ServerRow* server = FindServer(tables, planned.m_owner);
  row.m_owner_incarnation = server ? server->m_entry.m_incarnation : 0;
  row.m_handover.clear();
  row.m_phase = RangePhase::kRecording;
  row.m_record_number = record_number;
  row.m_move_started_at = now.m_steady;
  return row;
}

// Replaces each range whose plan differs by one row for each planned piece.
void ApplyPlan(GatewayTables& tables,
               ServiceId service_id,
               const ServiceRanges& ranges,
               const std::vector<PlannedRange>& plan,
               const Now& now) {
  ServiceRow& service = tables.m_services.Get(service_id);
  bool changed = false;
  std::vector<StartedMove> moves;
  for (size_t i = 0; i < ranges.m_ids.size(); ++i) {
    const RangeRow whole = tables.m_ranges.Get(ranges.m_ids[i]);
    std::vector<PlannedRange> pieces;
    std::ranges::copy_if(plan, std::back_inserter(pieces),
                         [&](const PlannedRange& piece) {
                           return whole.m_range.Contains(piece.m_range.m_first);
                         });
    if (pieces.size() == 1 && pieces[0] == ranges.m_planned[i] &&
        !pieces[0].m_owner.empty()) {
      continue;
    }
    if (whole.m_call_in_flight) {
      continue;  // a server call is in flight; a later tick plans this range
    }
    tables.m_ranges.Erase(ranges.m_ids[i]);
    for (const PlannedRange& piece : pieces) {
      RangeRow row =
          BuildPieceRow(tables, whole, piece, service.m_record_number + 1, now);
      if (row.m_owner != whole.m_owner) {
        moves.push_back({piece.m_range, whole.m_owner, row.m_owner});
      }
      tables.m_ranges.Insert(std::move(row));
      changed = true;
    }
  }
  service.m_dirty = service.m_dirty || changed;
  GrantLogSystem::OnMovesStarted(tables, service.m_name, moves);
}

// Adds the first range of a service: all keys, without an owner.
void AddInitialRange(GatewayTables& tables, ServiceId service, const Now& now) {
  RangeRow row;
  row.m_service = service;
  row.m_range = {0, kShardKeys - 1};
  row.m_move_started_at = now.m_steady;
  tables.m_ranges.Insert(std::move(row));
}

// Plans the keys of a service while two versions share them. Ranges without an
// owner go to the servers that were there before, which are known to work; then
// keys move between the groups until the target version has its share.
void PlaceDuringRollout(GatewayTables& tables,
                        ServiceId id,
                        const RoutedRollout& rollout,
                        const ServiceRanges& ranges,
                        const std::vector<PlannedServer>& servers,
                        const Now& now) {
  static const ResponseTimeTargets targets;
  static const FillPlanner fill;
  static const RebalancePlanner rebalance;
  ServiceRow& service = tables.m_services.Get(id);
  std::vector<PlannedServer> target_group;
  std::vector<PlannedServer> others;
  std::set<std::string> target_ids;
  for (const PlannedServer& server : servers) {
    const ServerRow* row = FindServer(tables, server.m_id);
    const bool is_target = rollout.GroupOf(row->m_entry.m_software_version) ==
                           VersionGroup::kTarget;
    (is_target ? target_group : others).push_back(server);
    if (is_target) {
      target_ids.insert(server.m_id);
    }
  }
  if (others.empty()) {
    return;
  }
  const double demand = TotalDemand(service);
  const SliceWeights weights = BuildWeights(tables, service, demand);
  targets.SetTargets(others, demand * (1 - rollout.m_share));
  std::vector<PlannedRange> plan = ranges.m_planned;
  if (ranges.m_needs_owner) {
    plan = fill.Plan(plan, others, weights);
  } else if (!target_group.empty()) {
    targets.SetTargets(target_group, demand * rollout.m_share);
    for (PlannedServer& server : others) {
      server.m_target *= 1 - rollout.m_share;
    }
    for (PlannedServer& server : target_group) {
      server.m_target *= rollout.m_share;
    }
    std::vector<PlannedServer> all = others;
    all.insert(all.end(), target_group.begin(), target_group.end());
    plan = ShiftPlanner(std::move(target_ids), rollout.m_share)
               .Plan(plan, all, weights);
    if (plan == ranges.m_planned &&
        now.m_steady >= service.m_next_rebalance_at) {
      service.m_next_rebalance_at =
          now.m_steady + tables.m_settings.m_rebalance_interval;
      plan = rebalance.Plan(rebalance.Plan(plan, others, weights), target_group,
                            weights);
    }
  }
  if (plan != ranges.m_planned) {
    ApplyPlan(tables, id, ranges, plan, now);
  }
}

// Most ticks follow the result of a server call and change no owner. Targets
// and weights are therefore computed only when a range has no owner, a server
// has no range or rebalancing is due.
void PlaceService(GatewayTables& tables, ServiceId id, const Now& now) {
  static const ResponseTimeTargets targets;
  static const FillPlanner fill;
  static const RebalancePlanner rebalance;
  // Some dozens of hot keys must leave a server within a second or two, each
  // as a move of its own.
  static const RebalancePlanner rebalance_finely(24);
  ServiceRow& service = tables.m_services.Get(id);
  SmoothLoads(service, now);
  if (service.m_call_in_flight) {
    return;  // a write in flight uses the next record number
  }
  ServiceRanges ranges = CollectRanges(tables, id, now);
  std::vector<PlannedServer> servers =
      FindCandidates(tables, service.m_name, now);
  if (servers.empty()) {
    return;
  }
  if (ranges.m_ids.empty()) {
    AddInitialRange(tables, id, now);
    ranges = CollectRanges(tables, id, now);
  }
  if (ranges.m_has_move && !ranges.m_needs_owner) {
    return;
  }
  const auto rollout = FindRollout(tables, service.m_name);
  if (rollout && rollout->m_share > 0 && rollout->m_share < 1) {
    PlaceDuringRollout(tables, id, *rollout, ranges, servers, now);
    return;
  }
  const bool rebalance_due = now.m_steady >= service.m_next_rebalance_at;
  if (!rebalance_due && !ranges.m_needs_owner &&
      !HasServerWithoutKeys(ranges, servers)) {
    tables.WakeAt(service.m_next_rebalance_at);
    return;
  }
  const double demand = TotalDemand(service);
  targets.SetTargets(servers, demand);
  const SliceWeights weights = BuildWeights(tables, service, demand);
  std::vector<PlannedRange> plan =
      fill.Plan(ranges.m_planned, servers, weights);
  if (plan == ranges.m_planned) {
    if (!rebalance_due) {
      tables.WakeAt(service.m_next_rebalance_at);
      return;
    }
    service.m_next_rebalance_at =
        now.m_steady + tables.m_settings.m_rebalance_interval;
    plan = (SplitsFinely(tables) ? rebalance_finely : rebalance)
               .Plan(ranges.m_planned, servers, weights);
  }
  if (plan != ranges.m_planned) {
    ApplyPlan(tables, id, ranges, plan, now);
  }
}

}  // namespace

bool MayKeepKeys(const GatewayTables& tables,
                 const std::string& server_id,
                 const Now& now) {
  const ServerRow* server = FindServer(tables, server_id);
  if (!server || !IsEligible(*server) || server->m_ended ||
      !MayOwnKeys(tables, *server)) {
    return false;
  }
  return server->m_consecutive_failures == 0 ||
         now.m_steady - server->m_failing_since <
             tables.m_settings.m_server_unreachable_timeout;
}

void RangePlacementSystem::Run(GatewayTables& tables, const Now& now) {
  const TimePoint grace_ends_at = tables.m_store_reachable_since +
                                  tables.m_settings.m_registration_grace_period;
  if (!tables.IsLoaded(kServerRows) || !tables.IsLeading(now)) {
    return;
  }
  if (now.m_steady < grace_ends_at) {
    tables.WakeAt(grace_ends_at);
    return;
  }
  tables.m_services.ForEach([&](ServiceId id, const ServiceRow& service) {
    if (service.m_row_loaded) {
      PlaceService(tables, id, now);
    }
  });
}

}  // namespace foxtail
