#include "gateway/store_era_system.h"

#include "gateway/leadership_system.h"
#include "gateway/owners_system.h"
#include "gateway/relay_system.h"
#include "gateway/rollout_system.h"

namespace foxtail {
namespace {

// Rows of older eras are removed a few at a time, once no process that reads
// the table needs them for the owners of its era.
constexpr std::chrono::seconds kRemovalGrace{30};
constexpr std::chrono::seconds kRemovalPeriod{1};
constexpr size_t kRemovalsAtOnce = 20;

void MarkChanged(StoreEraState& state, const Now& now) {
  state.m_changed = true;
  state.m_changed_at = now.m_steady;
  state.m_next_removal_at = now.m_steady + kRemovalGrace;
}

void ForgetRegistrations(GatewayTables& tables, const Now& now) {
  tables.m_members.ForEach([&](MemberId, MemberRow& member) {
    member.m_unconfirmed_until =
        now.m_steady + tables.m_settings.m_era_member_grace;
  });
  tables.m_self_registered = false;
  tables.m_self_write_in_flight = false;
}

void BeginEra(GatewayTables& tables, uint64_t era, const Now& now) {
  StoreEraState& state = tables.m_store_era;
  const bool first = !state.m_era;
  state.m_era = era;
  tables.m_self_row_version = tables.GetMissingRowVersion();
  if (era > 0) {
    state.m_history = tables.m_progress[kOperatorRows].m_loaded
                          ? EraHistory::kKnown
                          : EraHistory::kPending;
    state.m_history_wait_until = TimePoint();
  }
  if (first) {
    LeadershipSystem::OnEraKnown(tables);
    return;
  }
  MarkChanged(state, now);
  state.m_copy_versions = {};
  state.m_operator_rows_kept_until =
      now.m_steady + tables.m_settings.m_era_operator_grace;
  state.m_older_rows.clear();
  // Registrations that are missing now are missing as after an outage.
  tables.m_store_reachable_since = now.m_steady;
  ForgetRegistrations(tables, now);
  LeadershipSystem::OnEraChanged(tables, now);
  OwnersSystem::OnEraChanged(tables);
  RolloutSystem::OnEraChanged(tables, now);
  tables.m_events.push_back({EventNumber::kStoreEraChanged, {{"era", era}}});
  tables.WakeAt(now.m_steady);
}

}  // namespace

bool StoreEraSystem::OnResult(GatewayTables& tables,
                              StoreOutcome outcome,
                              uint64_t era,
                              const Now& now) {
  RelaySystem::OnStoreCall(tables, ShowsEra(outcome), now);
  const bool first = !tables.m_store_era.m_era && ShowsEra(outcome);
  if (first || era > tables.GetEra()) {
    BeginEra(tables, era, now);
  }
  return !ShowsEra(outcome) || era == tables.GetEra();
}

bool StoreEraSystem::OnMessage(GatewayTables& tables,
                               uint64_t version,
                               const Now& now) {
  const uint64_t era = EraOfVersion(version);
  if (era > tables.GetEra()) {
    BeginEra(tables, era, now);
  }
  return era == tables.GetEra();
}

void StoreEraSystem::OnOlderRow(GatewayTables& tables, const Now& now) {
  if (!tables.m_store_era.m_changed) {
    MarkChanged(tables.m_store_era, now);
  }
}

void StoreEraSystem::Run(GatewayTables& tables, const Now& now) {
  StoreEraState& state = tables.m_store_era;
  if (state.m_older_rows.empty() || !tables.IsLeading(now)) {
    return;
  }
  if (now.m_steady < state.m_next_removal_at) {
    tables.WakeAt(state.m_next_removal_at);
    return;
  }
  state.m_next_removal_at = now.m_steady + kRemovalPeriod;
  size_t removals = 0;
  for (const auto& [key, version] : state.m_older_rows) {
    if (removals++ == kRemovalsAtOnce) {
      break;
    }
    tables.m_outbox.emplace_back(
        WriteRowCommand{{kClusterTable, key, version, std::nullopt}});
  }
}

}  // namespace foxtail
