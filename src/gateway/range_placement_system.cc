#include "gateway/range_placement_system.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <string_view>

#include "gateway/range_planner.h"

namespace foxtail {
namespace {

// Below this rate the counts say nothing about which keys are busy.
constexpr double kSignificantRate = 20;  // requests a second

// Counts are smoothed over this time. A busy key shows after about half of it.
constexpr std::chrono::milliseconds kSmoothing{1500};

// Pause between two steps of the smoothing: that between reports.
constexpr std::chrono::milliseconds kSmoothingStep{400};

// Bounds of a server's measured time relative to the usual of its service.
constexpr double kFastest = 0.4;
constexpr double kSlowest = 2.5;

// Time of a request at a server while none is measured, seconds.
constexpr double kUnknownSeconds = 0.1;

void SmoothLoads(ServiceRow& service, const Now& now) {
  const Duration passed = now.m_steady - service.m_smoothed;
  if (passed < kSmoothingStep) {
    return;
  }
  const bool first = service.m_smoothed == TimePoint();
  const double gain = 1 - std::exp(-ToSeconds(passed) / ToSeconds(kSmoothing));
  service.m_smoothed = now.m_steady;
  for (uint32_t i = 0; i < kSlices; ++i) {
    const double rate = first ? 0 : service.m_counts[i] / ToSeconds(passed);
    service.m_loads[i] +=
        static_cast<float>(gain * (rate - service.m_loads[i]));
    service.m_counts[i] = 0;
  }
}

// Returns the means over the servers of a service that are known.
SpeedEstimate UsualSpeed(const GatewayTables& tables,
                         const std::string& service) {
  SpeedEstimate usual;
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    if (server.m_entry.m_service == service && server.m_speed.m_answers > 0) {
      usual.m_seconds += server.m_speed.m_seconds;
      usual.m_slowdown += server.m_speed.m_slowdown;
      ++usual.m_answers;
    }
  });
  if (usual.m_answers == 0) {
    return {kUnknownSeconds, 0, 0};
  }
  usual.m_seconds /= usual.m_answers;
  usual.m_slowdown /= usual.m_answers;
  return usual;
}

// Returns the servers that may own keys, without their targets.
std::vector<PlannedServer> ServersOf(const GatewayTables& tables,
                                     const std::string& service,
                                     const Now& now) {
  const SpeedEstimate usual = UsualSpeed(tables, service);
  std::vector<PlannedServer> servers;
  std::vector<PlannedServer> cold;
  for (const auto& [id, server_id] : tables.m_servers_by_id) {
    const ServerRow& server = tables.m_servers.Get(server_id);
    if (server.m_entry.m_service != service || !IsEligible(server) ||
        server.m_failed_orders > 0) {
      continue;
    }
    const double seconds =
        std::clamp(server.m_speed.ExpectedSeconds(usual),
                   usual.m_seconds * kFastest, usual.m_seconds * kSlowest);
    (now.m_steady < server.m_cold_until ? cold : servers)
        .push_back({id, server.m_entry.m_slots, seconds, 0});
  }
  return servers.empty() ? cold : servers;
}

double DemandOf(const ServiceRow& service) {
  return std::accumulate(service.m_loads.begin(), service.m_loads.end(), 0.0);
}

SliceWeights WeightsOf(const ServiceRow& service, double demand) {
  if (demand < kSignificantRate) {
    return {};
  }
  // Exponential smoothing counts for twice its time constant.
  return {service.m_loads, demand * 2 * ToSeconds(kSmoothing)};
}

struct ServiceRanges {
  std::vector<RangeId> m_ids;
  std::vector<PlannedRange> m_planned;
  bool m_moving = false;
  bool m_orphaned = false;
};

ServiceRanges RangesOf(const GatewayTables& tables,
                       ServiceId service,
                       const Now& now) {
  ServiceRanges found;
  tables.m_ranges.ForEach([&](RangeId id, const RangeRow& row) {
    if (row.m_service == service) {
      found.m_ids.push_back(id);
    }
  });
  // Plans are in order of keys, and are compared with these.
  std::ranges::sort(found.m_ids, {}, [&tables](RangeId id) {
    return tables.m_ranges.Get(id).m_range;
  });
  for (const RangeId id : found.m_ids) {
    const RangeRow& row = tables.m_ranges.Get(id);
    // A range on its way to a server that is lost as well starts again.
    const bool kept = row.m_phase != RangePhase::kUnowned &&
                      MayKeepKeys(tables, row.m_owner, now);
    found.m_moving =
        found.m_moving || (kept && row.m_phase != RangePhase::kSettled);
    found.m_orphaned = found.m_orphaned || !kept;
    found.m_planned.push_back({row.m_range, kept ? row.m_owner : ""});
  }
  return found;
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

RangeRow Piece(const GatewayTables& tables,
               const RangeRow& whole,
               const PlannedRange& planned,
               uint64_t record_number,
               const Now& now) {
  RangeRow row = whole;
  row.m_range = planned.m_range;
  row.m_busy = false;
  if (planned.m_owner == whole.m_owner) {
    return row;
  }
  if (whole.m_may_hold) {
    row.m_previous.push_back(whole.m_owner);
  }
  row.m_may_hold = false;
  row.m_owner = planned.m_owner;
  const ServerRow* server = FindServer(tables, planned.m_owner);
  row.m_owner_incarnation = server ? server->m_entry.m_incarnation : 0;
  row.m_handover.clear();
  row.m_phase = RangePhase::kRecording;
  row.m_record_number = record_number;
  row.m_move_started = now.m_steady;
  return row;
}

// Rows whose plan is unchanged stay as they are. The others are replaced by
// their pieces.
void ApplyPlan(GatewayTables& tables,
               ServiceId service_id,
               const ServiceRanges& ranges,
               const std::vector<PlannedRange>& plan,
               const Now& now) {
  ServiceRow& service = tables.m_services.Get(service_id);
  bool changed = false;
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
    if (whole.m_busy) {
      continue;  // an order about it is on its way; planned again after it
    }
    tables.m_ranges.Erase(ranges.m_ids[i]);
    for (const PlannedRange& piece : pieces) {
      RangeRow row =
          Piece(tables, whole, piece, service.m_record_number + 1, now);
      if (row.m_owner != whole.m_owner) {
        row.m_fence = ++tables.m_lead.m_last_fence;
        tables.m_events.push_back({EventNumber::kPartitionMoveStarted,
                                   {{"cell", service.m_name},
                                    {"partition", NameOf(piece.m_range)},
                                    {"from", whole.m_owner},
                                    {"to", row.m_owner}}});
      }
      tables.m_ranges.Insert(std::move(row));
      changed = true;
    }
  }
  service.m_dirty = service.m_dirty || changed;
}

// Before any owner is known all keys form one range without an owner.
void AddFirstRange(GatewayTables& tables, ServiceId service, const Now& now) {
  RangeRow row;
  row.m_service = service;
  row.m_range = {0, kShardKeys - 1};
  row.m_fence = ++tables.m_lead.m_last_fence;
  row.m_move_started = now.m_steady;
  tables.m_ranges.Insert(std::move(row));
}

// Most ticks follow an answered order and change no owner, so targets and
// weights are worked out only when a range or a server is without the other, or
// relief is due.
void PlaceService(GatewayTables& tables, ServiceId id, const Now& now) {
  static const ResponseTimeTargets targets;
  static const FillPlanner fill;
  static const RelievePlanner relieve;
  ServiceRow& service = tables.m_services.Get(id);
  SmoothLoads(service, now);
  if (service.m_busy) {
    return;  // the record's number is taken
  }
  ServiceRanges ranges = RangesOf(tables, id, now);
  std::vector<PlannedServer> servers = ServersOf(tables, service.m_name, now);
  if (servers.empty()) {
    return;
  }
  if (ranges.m_ids.empty()) {
    AddFirstRange(tables, id, now);
    ranges = RangesOf(tables, id, now);
  }
  if (ranges.m_moving && !ranges.m_orphaned) {
    return;
  }
  const bool relief_due = now.m_steady >= service.m_next_rebalance;
  if (!relief_due && !ranges.m_orphaned &&
      !HasServerWithoutKeys(ranges, servers)) {
    tables.WakeAt(service.m_next_rebalance);
    return;
  }
  const double demand = DemandOf(service);
  targets.SetTargets(servers, demand);
  const SliceWeights weights = WeightsOf(service, demand);
  std::vector<PlannedRange> plan =
      fill.Plan(ranges.m_planned, servers, weights);
  if (plan == ranges.m_planned) {
    if (!relief_due) {
      tables.WakeAt(service.m_next_rebalance);
      return;
    }
    service.m_next_rebalance =
        now.m_steady + tables.m_settings.m_rebalance_interval;
    plan = relieve.Plan(ranges.m_planned, servers, weights);
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
  if (!server || !IsEligible(*server)) {
    return false;
  }
  return server->m_failed_orders == 0 ||
         now.m_steady - server->m_failing_since <
             tables.m_settings.m_server_unreachable_timeout;
}

void RangePlacementSystem::Run(GatewayTables& tables, const Now& now) {
  const TimePoint gathered = tables.m_servers_contact_since +
                             tables.m_settings.m_registration_grace_period;
  if (!tables.m_servers_read || !tables.IsLeading(now)) {
    return;
  }
  if (now.m_steady < gathered) {
    tables.WakeAt(gathered);
    return;
  }
  tables.m_services.ForEach([&](ServiceId id, const ServiceRow& service) {
    if (service.m_known) {
      PlaceService(tables, id, now);
    }
  });
}

}  // namespace foxtail
