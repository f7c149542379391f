#include "gateway/rollout_system.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/error.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Interval between decisions on a running rollout. Reports don't wake the
// leader one by one: there are hundreds a second.
constexpr milliseconds kJudgeInterval{200};

// Late writes of an older era of the store may replace a state for the
// operators if its version was given out again. They arrive within seconds.
constexpr std::chrono::seconds kStatusCheckDelay{10};

// Members tell the leader of newer records than the store has once it has had
// time to write its own in a new era, and until they read them.
constexpr std::chrono::seconds kNewerRecordsDelay{2};
constexpr std::chrono::seconds kNewerRecordsPeriod{1};

constexpr RolloutSettings kSettings;

RolloutRow* FindRow(GatewayTables& tables, const std::string& service) {
  return tables.m_rollouts.Find(tables.m_rollouts.FindIf(
      [&service](const RolloutRow& row) { return row.m_service == service; }));
}

RolloutRow& GetOrInsertRow(GatewayTables& tables, const std::string& service) {
  if (RolloutRow* row = FindRow(tables, service)) {
    return *row;
  }
  RolloutRow row;
  row.m_service = service;
  return tables.m_rollouts.Get(tables.m_rollouts.Insert(std::move(row)));
}

std::string KeyOf(const GatewayTables& tables, const RolloutRow& row) {
  return EncodeEraKey({tables.GetEra(), kRolloutRecordPrefix + row.m_service});
}

// Records are ordered by their orders first.
bool IsOlder(const RolloutRecord& a, const RolloutRecord& b) {
  return std::tie(a.m_order, a.m_step) < std::tie(b.m_order, b.m_step);
}

// Returns whether a record of the store is older than the one that is known:
// written before a rollback that is not stored yet, or by a leader of this era
// that did not know the newest record of the last one. A store that is restored
// without another era gives out lower numbers of orders.
bool IsBehind(const GatewayTables& tables,
              const RolloutRow& row,
              const RolloutRecord& record) {
  return row.m_record && IsOlder(record, *row.m_record) &&
         (record.m_order == row.m_record->m_order ||
          tables.m_store_era.m_changed);
}

// Keeps an order out that may be of the copy while a record of a later order,
// or the withdrawal of the order, shows that it was not in force. Operators
// write their rows again; if they do not, the row is in force in the end.
void UpdateCopiedOrder(GatewayTables& tables, RolloutRow& row, const Now& now) {
  const TimePoint until =
      row.m_order_seen_at + tables.m_settings.m_era_operator_grace;
  const bool in_doubt =
      row.m_order && row.m_order_may_be_of_copy && now.m_steady < until;
  const bool superseded =
      in_doubt && row.m_record &&
      row.m_record->m_target != row.m_order->m_target &&
      EraOfVersion(row.m_record->m_order) < EraOfVersion(row.m_order->m_number);
  const bool withdrawn = in_doubt && row.m_order_withdrawn;
  if (superseded != row.m_order_superseded ||
      withdrawn != row.m_order_withdrawn) {
    row.m_order_superseded = superseded;
    row.m_order_withdrawn = withdrawn;
    tables.m_snapshot_due = true;
  }
  if (superseded || withdrawn) {
    tables.WakeAt(until);
  }
}

bool IsSharded(const GatewayTables& tables, const std::string& service) {
  const RoutedService* found =
      tables.m_routes ? tables.m_routes->FindService(service) : nullptr;
  return found && found->m_sharded;
}

// The wall clocks of hosts may differ, so the time since the order is taken
// from the steady clock where this host has seen the order come.
Duration ElapsedSinceOrder(const RolloutRow& row, const Now& now) {
  const Duration seen = now.m_steady - row.m_order_seen_at;
  if (row.m_order_read_as_change) {
    return seen;
  }
  const Duration by_wall = now.m_wall.time_since_epoch() -
                           milliseconds(row.m_record->m_ordered_at_ms);
  return std::max(seen, by_wall);
}

void LogStep(GatewayTables& tables, const RolloutRecord& record) {
  tables.m_events.push_back(
      {EventNumber::kRolloutStep,
       {{"cell", record.m_service},
        {"target", record.m_target},
        {"step", record.m_step},
        {"share_permille", std::lround(record.m_share * 1000)},
        {"requests", record.m_requests},
        {"target_requests", record.m_target_requests}}});
}

void LogEnd(GatewayTables& tables,
            const RolloutRecord& record,
            const RolloutFault& fault) {
  const bool rolled_back = record.m_state == RolloutState::kRolledBack;
  const char* reason =
      fault.m_kind == FaultKind::kFailures ? "failures" : "latency";
  tables.m_events.push_back(
      {EventNumber::kRolloutEnded,
       {{"cell", record.m_service},
        {"target", record.m_target},
        {"state", rolled_back ? "rolled_back" : "completed"},
        {"reason", rolled_back ? reason : ""},
        {"route", fault.m_route},
        {"bad", fault.m_bad},
        {"responses", fault.m_responses},
        {"requests", record.m_requests},
        {"target_requests", record.m_target_requests}}});
}

RolloutRecord BuildFirstRecord(const RolloutRow& row, const Now& now) {
  RolloutRecord record;
  record.m_service = row.m_service;
  record.m_target = row.m_order->m_target;
  record.m_order = row.m_order->m_number;
  record.m_share = kSettings.m_shares.front();
  const Duration age = now.m_steady - row.m_order_seen_at;
  record.m_ordered_at_ms =
      now.m_wall.time_since_epoch().count() -
      std::chrono::duration_cast<milliseconds>(age).count();
  if (row.m_record) {
    record.m_rejected = row.m_record->m_rejected;
    std::erase(record.m_rejected, record.m_target);
  }
  return record;
}

RolloutRecord BuildNextRecord(const RolloutRow& row) {
  RolloutRecord record = *row.m_record;
  ++record.m_step;
  if (IsRepeat(row)) {
    record.m_last_repeat = row.m_order->m_number;
  }
  record.m_requests = row.m_judge->GetRequests();
  record.m_target_requests = row.m_judge->GetTargetRequests();
  return record;
}

void ResetLeaderState(RolloutRow& row, uint64_t epoch) {
  row.m_leader_epoch = epoch;
  row.m_next_record.reset();
  row.m_write_in_flight = false;
  row.m_next_write_at = TimePoint();
  row.m_judge.reset();
  row.m_taken_over = true;
  row.m_members.clear();
  row.m_reported_state.reset();
  row.m_status_version_known = false;
  row.m_status_in_flight = false;
  row.m_next_status_at = TimePoint();
}

// Drops what is decided on an earlier order, and begins the order in force.
void StartOrder(RolloutRow& row, const Now& now) {
  if (!HasOrder(row) || IsOrdersRecord(row) ||
      (row.m_next_record &&
       row.m_next_record->m_order == row.m_order->m_number)) {
    return;
  }
  row.m_judge.reset();
  row.m_members.clear();
  row.m_taken_over = false;
  row.m_reported_state.reset();
  row.m_next_record = BuildFirstRecord(row, now);
  row.m_next_write_at = now.m_steady;
}

// Has the record written that the store lacks: a rollback of the leader before,
// or any record in a new era of the store. An ended rollout must not start
// again by a row that repeats its order, not even at hosts that start later.
void KeepRecord(RolloutRow& row) {
  if (!row.m_record || row.m_next_record) {
    return;
  }
  const bool repeated =
      IsRepeat(row) && row.m_record->m_state != RolloutState::kRunning;
  if (row.m_record_stored && !repeated) {
    return;
  }
  row.m_next_record = row.m_record;
  if (repeated) {
    row.m_next_record->m_last_repeat = row.m_order->m_number;
  }
}

void WriteRecord(GatewayTables& tables, RolloutRow& row, const Now& now) {
  if (!row.m_next_record || row.m_write_in_flight) {
    return;
  }
  if (now.m_steady < row.m_next_write_at) {
    tables.WakeAt(row.m_next_write_at);
    return;
  }
  row.m_write_in_flight = true;
  tables.m_outbox.emplace_back(
      WriteRowCommand{{kClusterTable, KeyOf(tables, row), row.m_record_version,
                       EncodeRecord(*row.m_next_record)}});
}

// Returns whether the row of the state is to be checked for a late write.
bool IsStatusCheckDue(GatewayTables& tables,
                      const RolloutRow& row,
                      const Now& now) {
  if (row.m_status_check_at && now.m_steady < *row.m_status_check_at) {
    tables.WakeAt(*row.m_status_check_at);
  }
  return row.m_status_check_at && now.m_steady >= *row.m_status_check_at;
}

void WriteStatus(GatewayTables& tables, RolloutRow& row, const Now& now) {
  if (!IsOrdersRecord(row) || !row.m_record_stored || row.m_status_in_flight) {
    return;
  }
  if (IsStatusCheckDue(tables, row, now)) {
    row.m_status_check_at.reset();
    row.m_status_version_known = false;
  }
  if (row.m_status_version_known &&
      row.m_reported_state == row.m_record->m_state) {
    return;
  }
  if (now.m_steady < row.m_next_status_at) {
    tables.WakeAt(row.m_next_status_at);
    return;
  }
  row.m_status_in_flight = true;
  if (!row.m_status_version_known) {
    tables.m_outbox.emplace_back(
        ReadRolloutStatusCommand{*row.m_record, tables.GetEra()});
    return;
  }
  tables.m_outbox.emplace_back(
      WriteRolloutStatusCommand{*row.m_record, row.m_status_version});
}

void StartJudge(GatewayTables& tables, RolloutRow& row, const Now& now) {
  row.m_judge.emplace(*row.m_record, row.m_order->m_period,
                      IsSharded(tables, row.m_service));
  row.m_judge->StartStep(*row.m_record, now.m_steady);
  row.m_judged_since = now.m_steady;
}

// Returns whether `matches` holds for the last report of each member but those
// that have been silent for longer than `silence`.
template <typename Matches>
bool AllMembers(const GatewayTables& tables,
                const RolloutRow& row,
                Duration silence,
                const Now& now,
                Matches matches) {
  bool all = true;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    const auto found = row.m_members.find(member.m_record.m_address);
    const bool reported =
        found != row.m_members.end() &&
        found->second.m_incarnation == member.m_record.m_incarnation;
    const TimePoint heard_at =
        reported ? std::max(found->second.m_reported_at, row.m_judged_since)
                 : row.m_judged_since;
    if (now.m_steady - heard_at <= silence) {
      all = all && reported && matches(found->second.m_counts);
    }
  });
  return all;
}

bool AreKeysStable(const GatewayTables& tables,
                   const RolloutRow& row,
                   bool all_at_target) {
  const ServiceId id = FindService(tables, row.m_service);
  const ServiceRow* service = tables.m_services.Find(id);
  if (!service) {
    return !IsSharded(tables, row.m_service);
  }
  bool stable =
      service->m_row_loaded && !service->m_dirty && !service->m_call_in_flight;
  tables.m_ranges.ForEach([&](RangeId, const RangeRow& range) {
    if (range.m_service != id) {
      return;
    }
    const ServerRow* owner = FindServer(tables, range.m_owner);
    stable = stable && range.m_phase == RangePhase::kStable &&
             range.m_previous_owners.empty() &&
             (!all_at_target || (owner && owner->m_entry.m_software_version ==
                                              row.m_record->m_target));
  });
  return stable;
}

RolloutProgress BuildProgress(const GatewayTables& tables,
                              const RolloutRow& row,
                              const Now& now) {
  const RolloutRecord& record = *row.m_record;
  const auto applies = [&record](const RolloutCounts& counts) {
    return counts.m_order == record.m_order && counts.m_step == record.m_step;
  };
  RolloutProgress progress;
  progress.m_elapsed = ElapsedSinceOrder(row, now);
  progress.m_applied =
      AreKeysStable(tables, row, false) &&
      AllMembers(tables, row, kSettings.m_step_silence, now, applies);
  progress.m_others_idle =
      AreKeysStable(tables, row, true) &&
      AllMembers(tables, row, kSettings.m_end_silence, now,
                 [&applies](const RolloutCounts& counts) {
                   return applies(counts) && counts.m_others_in_flight == 0;
                 });
  return progress;
}

void RollBack(GatewayTables& tables,
              RolloutRow& row,
              const RolloutFault& fault,
              const Now& now) {
  RolloutRecord record = BuildNextRecord(row);
  record.m_state = RolloutState::kRolledBack;
  record.m_share = 0;
  record.m_rejected.push_back(record.m_target);
  row.m_next_record = record;
  row.m_next_write_at = now.m_steady;
  row.m_record = record;
  row.m_record_stored = false;
  row.m_judge.reset();
  LogEnd(tables, record, fault);
  tables.m_outbox.emplace_back(SendDatagramCommand{
      ListOtherMembers(tables),
      RolloutNotice{tables.m_leader_lease.m_record.m_epoch, {record}}});
  tables.m_snapshot_due = true;
}

void RunJudge(GatewayTables& tables, RolloutRow& row, const Now& now) {
  const bool is_step_pending =
      row.m_next_record && row.m_next_record != row.m_record;
  if (!IsOrdersRecord(row) || is_step_pending ||
      row.m_record->m_state != RolloutState::kRunning) {
    return;
  }
  tables.WakeAt(now.m_steady + kJudgeInterval);
  if (!row.m_judge) {
    StartJudge(tables, row, now);
  }
  const RolloutDecision decision =
      row.m_judge->Decide(BuildProgress(tables, row, now), now.m_steady);
  if (decision.m_verdict == RolloutVerdict::kRollBack) {
    RollBack(tables, row, decision.m_fault, now);
  } else if (decision.m_verdict != RolloutVerdict::kWait) {
    row.m_next_record = BuildNextRecord(row);
    row.m_next_record->m_share = decision.m_share;
    row.m_next_record->m_state = decision.m_verdict == RolloutVerdict::kComplete
                                     ? RolloutState::kCompleted
                                     : RolloutState::kRunning;
    row.m_next_write_at = now.m_steady;
  }
}

// Takes over a record that the store has.
void OnStored(GatewayTables& tables,
              RolloutRow& row,
              RolloutRecord record,
              const Now& now) {
  const bool is_news = !row.m_record || *row.m_record != record;
  row.m_record = std::move(record);
  row.m_record_stored = true;
  tables.m_snapshot_due = true;
  if (row.m_next_record == row.m_record) {
    row.m_next_record.reset();
  }
  if (!is_news || tables.m_leader_lease.m_phase != LeaderLeasePhase::kLeader) {
    return;
  }
  if (row.m_record->m_state == RolloutState::kCompleted) {
    row.m_judge.reset();
    LogEnd(tables, *row.m_record, {});
  } else if (row.m_record->m_state == RolloutState::kRunning) {
    LogStep(tables, *row.m_record);
    if (row.m_judge) {
      row.m_judge->StartStep(*row.m_record, now.m_steady);
    }
  }
}

void SubtractVersion(VersionCounts& counts, const VersionCounts& before) {
  counts.m_ended -= std::min(counts.m_ended, before.m_ended);
  counts.m_failed -= std::min(counts.m_failed, before.m_failed);
  for (size_t i = 0; i < kLatencyClasses; ++i) {
    counts.m_latencies[i] -=
        std::min(counts.m_latencies[i], before.m_latencies[i]);
  }
}

// Returns what a member has seen since an earlier report of the same process.
RolloutCounts Subtract(const RolloutCounts& counts,
                       const RolloutCounts& before) {
  RolloutCounts difference = counts;
  difference.m_requests -= std::min(counts.m_requests, before.m_requests);
  difference.m_target_requests -=
      std::min(counts.m_target_requests, before.m_target_requests);
  for (RouteCounts& route : difference.m_routes) {
    const auto known = std::ranges::find(before.m_routes, route.m_route,
                                         &RouteCounts::m_route);
    if (known != before.m_routes.end()) {
      SubtractVersion(route.m_target, known->m_target);
      SubtractVersion(route.m_others, known->m_others);
    }
  }
  return difference;
}

void AddReport(RolloutRow& row,
               const RolloutReport& report,
               const RolloutCounts& counts,
               const Now& now) {
  const auto found = row.m_members.find(report.m_address);
  const bool is_known = found != row.m_members.end();
  if (is_known && found->second.m_incarnation == report.m_incarnation &&
      report.m_sequence <= found->second.m_sequence) {
    return;  // repeated, or overtaken by a later one
  }
  const bool continues =
      is_known && found->second.m_incarnation == report.m_incarnation;
  row.m_judge->Add(
      continues ? Subtract(counts, found->second.m_counts) : counts,
      !is_known && row.m_taken_over, now.m_steady);
  row.m_members[report.m_address] = {report.m_incarnation, report.m_sequence,
                                     counts, now.m_steady};
}

// Without a leader nobody adds the hosts' counts up, and a store outage may
// take the leader away for as long as it lasts. The old servers are still
// there.
void UpdatePause(GatewayTables& tables, const Now& now) {
  const bool is_running =
      tables.m_rollouts
          .FindIf([](const RolloutRow& row) {
            return IsOrdersRecord(row) &&
                   row.m_record->m_state == RolloutState::kRunning;
          })
          .IsValid();
  if (!is_running) {
    return;
  }
  const TimePoint silent_at =
      tables.m_leader_lease.m_leader_last_heard_at + kSettings.m_leader_silence;
  const bool paused = !tables.IsLeading(now) && now.m_steady >= silent_at;
  if (!paused) {
    tables.WakeAt(std::max(silent_at, now.m_steady + kJudgeInterval));
  } else {
    tables.WakeAt(now.m_steady + kJudgeInterval);
  }
  tables.m_snapshot_due =
      tables.m_snapshot_due || paused != tables.m_rollouts_paused;
  tables.m_rollouts_paused = paused;
}

// A record that was lost with the store's last seconds and with the leader may
// be known to a member.
void SendNewerRecords(GatewayTables& tables, const Now& now) {
  const StoreEraState& era = tables.m_store_era;
  const LeaderLeaseState& lease = tables.m_leader_lease;
  if (!era.m_changed || lease.m_phase == LeaderLeasePhase::kLeader ||
      lease.m_record.m_address.empty() ||
      lease.m_record.m_address == tables.m_self.m_address ||
      !tables.IsLoaded(kClusterRows)) {
    return;
  }
  RolloutNotice notice{lease.m_record.m_epoch, {}};
  tables.m_rollouts.ForEach([&notice](RolloutId, const RolloutRow& row) {
    if (row.m_record && !row.m_record_stored) {
      notice.m_records.push_back(*row.m_record);
    }
  });
  if (notice.m_records.empty()) {
    return;
  }
  const TimePoint due_at = std::max(tables.m_next_rollout_notice_at,
                                    era.m_changed_at + kNewerRecordsDelay);
  if (now.m_steady < due_at) {
    tables.WakeAt(due_at);
    return;
  }
  tables.m_next_rollout_notice_at = now.m_steady + kNewerRecordsPeriod;
  tables.WakeAt(tables.m_next_rollout_notice_at);
  tables.m_outbox.emplace_back(
      SendDatagramCommand{{lease.m_record.m_address}, std::move(notice)});
}

// Goes on from a record that a member knows.
void AdoptRecord(GatewayTables& tables,
                 RolloutRow& row,
                 const RolloutRecord& record) {
  row.m_record = record;
  row.m_record_stored = false;
  row.m_next_record.reset();
  row.m_judge.reset();
  row.m_members.clear();
  row.m_taken_over = true;
  tables.m_snapshot_due = true;
}

}  // namespace

void RolloutSystem::Run(GatewayTables& tables, const Now& now) {
  tables.m_rollouts.ForEach(
      [&](RolloutId, RolloutRow& row) { UpdateCopiedOrder(tables, row, now); });
  UpdatePause(tables, now);
  SendNewerRecords(tables, now);
  if (!tables.IsLeading(now) || !tables.IsLoaded(kClusterRows) ||
      !tables.IsLoaded(kOperatorRows)) {
    return;
  }
  const uint64_t epoch = tables.m_leader_lease.m_record.m_epoch;
  tables.m_rollouts.ForEach([&](RolloutId, RolloutRow& row) {
    if (row.m_leader_epoch != epoch) {
      ResetLeaderState(row, epoch);
    }
    StartOrder(row, now);
    KeepRecord(row);
    RunJudge(tables, row, now);
    WriteRecord(tables, row, now);
    WriteStatus(tables, row, now);
  });
}

void RolloutSystem::ApplyOrder(GatewayTables& tables,
                               const std::string& service,
                               std::optional<RolloutOrder> order,
                               const OrderReading& reading,
                               const Now& now) {
  RolloutRow& row = GetOrInsertRow(tables, service);
  const StoreEraState& era = tables.m_store_era;
  const bool may_repeat = now.m_steady < era.m_operator_rows_kept_until &&
                          IsOrdersRecord(row) &&
                          EraOfVersion(row.m_record->m_order) < tables.GetEra();
  // A process that had read the table before knows whether there was an order.
  row.m_order_withdrawn = order && reading.m_may_be_of_copy &&
                          tables.m_progress[kOperatorRows].m_loaded &&
                          !HasOrder(row);
  const bool is_known =
      row.m_order && order && row.m_order->m_target == order->m_target &&
      (row.m_order->m_number == order->m_number ||
       (row.m_record && row.m_record->m_state == RolloutState::kRunning));
  if (!is_known) {
    row.m_order_seen_at = now.m_steady;
    row.m_order_read_as_change = reading.m_as_change;
  }
  row.m_order = std::move(order);
  row.m_order_may_be_of_copy = reading.m_may_be_of_copy;
  UpdateCopiedOrder(tables, row, now);
  if (row.m_order && row.m_record &&
      row.m_order->m_target == row.m_record->m_target) {
    if (may_repeat) {
      row.m_order_repeat = row.m_order->m_number;
    }
    // The time of the order is the one that the record tells.
    row.m_order_read_as_change =
        row.m_order_read_as_change && EraOfVersion(row.m_order->m_number) ==
                                          EraOfVersion(row.m_record->m_order);
  }
  tables.m_snapshot_due = true;
}

void RolloutSystem::ApplyRecord(GatewayTables& tables,
                                const StoredRow& stored,
                                const EraKey& key,
                                const Now& now) {
  const bool is_of_era = key.m_era == tables.GetEra();
  if (stored.m_removed && !is_of_era) {
    return;  // the leader removes the rows of older eras
  }
  RolloutRow& row = GetOrInsertRow(
      tables, key.m_key.substr(std::string_view(kRolloutRecordPrefix).size()));
  tables.m_snapshot_due = true;
  if (stored.m_removed) {
    row.m_record_version = tables.GetMissingRowVersion();
    row.m_record_stored = false;
    return;
  }
  if (is_of_era) {
    row.m_record_version = stored.m_version;
  }
  RolloutRecord record;
  try {
    record = DecodeRolloutRecord(stored.m_value);
  } catch (const Error& failure) {
    LogUnreadableRow(tables, kClusterTable, stored.m_key, failure.GetDetail());
    return;
  }
  if (!is_of_era) {
    // The leader writes the newest record that it knows in the present era.
    if (!row.m_record || IsOlder(*row.m_record, record)) {
      row.m_record = std::move(record);
      row.m_record_stored = false;
      UpdateCopiedOrder(tables, row, now);
    }
    return;
  }
  if (IsBehind(tables, row, record)) {
    row.m_record_stored = false;
    return;
  }
  OnStored(tables, row, std::move(record), now);
}

// What was written since the copy is lost, the state for the operators as well.
void RolloutSystem::OnEraChanged(GatewayTables& tables, const Now& now) {
  tables.m_rollouts.ForEach([&](RolloutId, RolloutRow& row) {
    row.m_record_version = tables.GetMissingRowVersion();
    row.m_record_stored = false;
    row.m_write_in_flight = false;
    row.m_next_write_at = TimePoint();
    row.m_reported_state.reset();
    row.m_status_version_known = false;
    row.m_status_in_flight = false;
    row.m_next_status_at = TimePoint();
    row.m_status_check_at = now.m_steady + kStatusCheckDelay;
  });
}

void RolloutSystem::OnRecordWritten(GatewayTables& tables,
                                    const RowWrite& write,
                                    const WriteResult& result,
                                    const Now& now) {
  RolloutRow* row = FindRow(
      tables, DecodeEraKey(write.m_key)
                  .m_key.substr(std::string_view(kRolloutRecordPrefix).size()));
  if (!row) {
    return;
  }
  row->m_write_in_flight = false;
  if (result.m_outcome == StoreOutcome::kDone) {
    row->m_record_version = result.m_version;
    tables.m_progress[kClusterRows].RecordKnownVersion(result.m_version,
                                                       now.m_steady);
    RolloutRecord record = DecodeRolloutRecord(*write.m_value);
    if (!IsBehind(tables, *row, record)) {
      OnStored(tables, *row, std::move(record), now);
    }
    return;
  }
  // After a mismatch, or without a response, the row that the watch delivers
  // tells the version of the next attempt.
  row->m_next_write_at = now.m_steady + tables.m_settings.m_store_retry_delay;
}

void RolloutSystem::OnStatusRead(GatewayTables& tables,
                                 const ReadRolloutStatusCommand& command,
                                 const RowsResult& result,
                                 const Now& now) {
  RolloutRow* row = FindRow(tables, command.m_record.m_service);
  if (!row || command.m_era != tables.GetEra()) {
    return;
  }
  row->m_status_in_flight = false;
  if (result.m_outcome != StoreOutcome::kDone) {
    row->m_next_status_at =
        now.m_steady + tables.m_settings.m_store_retry_delay;
    return;
  }
  const uint64_t version = result.m_rows.empty()
                               ? tables.GetMissingRowVersion()
                               : result.m_rows.front().m_version;
  if (version != row->m_status_version) {
    row->m_reported_state.reset();
  }
  row->m_status_version = version;
  row->m_status_version_known = true;
}

void RolloutSystem::OnStatusWritten(GatewayTables& tables,
                                    const WriteRolloutStatusCommand& command,
                                    const WriteResult& result,
                                    const Now& now) {
  RolloutRow* row = FindRow(tables, command.m_record.m_service);
  if (!row || EraOfVersion(command.m_expected_version) != tables.GetEra()) {
    return;
  }
  row->m_status_in_flight = false;
  if (result.m_outcome == StoreOutcome::kDone) {
    row->m_status_version = result.m_version;
    if (row->m_record && row->m_record->m_order == command.m_record.m_order) {
      row->m_reported_state = command.m_record.m_state;
    }
    return;
  }
  // A mismatch tells the version of the store, not of the row.
  row->m_status_version_known = false;
  row->m_next_status_at = now.m_steady + tables.m_settings.m_store_retry_delay;
}

void RolloutSystem::SendReport(GatewayTables& tables,
                               std::vector<RolloutCounts> counts,
                               const Now& now) {
  if (counts.empty()) {
    return;
  }
  RolloutReport report;
  report.m_address = tables.m_self.m_address;
  report.m_incarnation = tables.m_self.m_incarnation;
  report.m_sequence = ++tables.m_rollout_report_sequence;
  report.m_counts = std::move(counts);
  if (tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader) {
    OnReport(tables, report, now);
  } else if (!tables.m_leader_lease.m_record.m_address.empty()) {
    tables.m_outbox.emplace_back(SendDatagramCommand{
        {tables.m_leader_lease.m_record.m_address}, std::move(report)});
  }
}

std::optional<RolloutNotice> RolloutSystem::OnReport(
    GatewayTables& tables,
    const RolloutReport& report,
    const Now& now) {
  if (!tables.IsLeading(now)) {
    return std::nullopt;
  }
  const MemberRow* member =
      tables.m_members.Find(tables.m_members.FindIf([&](const MemberRow& row) {
        return row.m_record.m_address == report.m_address;
      }));
  if (!member || member->m_record.m_incarnation != report.m_incarnation) {
    return std::nullopt;
  }
  RolloutNotice notice;
  notice.m_epoch = tables.m_leader_lease.m_record.m_epoch;
  for (const RolloutCounts& counts : report.m_counts) {
    RolloutRow* row = FindRow(tables, counts.m_service);
    if (!row || !row->m_record) {
      continue;
    }
    const bool is_current = counts.m_order == row->m_record->m_order;
    if (is_current && row->m_record->m_state == RolloutState::kRolledBack) {
      notice.m_records.push_back(*row->m_record);
    }
    if (is_current && row->m_judge) {
      AddReport(*row, report, counts, now);
    }
  }
  return notice.m_records.empty() ? std::nullopt : std::optional(notice);
}

void RolloutSystem::OnNotice(GatewayTables& tables,
                             const RolloutNotice& notice) {
  if (notice.m_epoch < tables.m_leader_lease.m_record.m_epoch) {
    return;
  }
  for (const RolloutRecord& record : notice.m_records) {
    RolloutRow& row = GetOrInsertRow(tables, record.m_service);
    const bool is_newer = !row.m_record || IsOlder(*row.m_record, record);
    const bool is_of_member =
        tables.m_store_era.m_changed &&
        tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader;
    if (is_newer &&
        (is_of_member || record.m_state == RolloutState::kRolledBack)) {
      AdoptRecord(tables, row, record);
    }
  }
}

std::optional<RoutedRollout> FindRollout(const GatewayTables& tables,
                                         const std::string& service) {
  const RolloutRow* row = tables.m_rollouts.Find(
      tables.m_rollouts.FindIf([&service](const RolloutRow& candidate) {
        return candidate.m_service == service;
      }));
  return row ? BuildRoutedRollout(*row) : std::nullopt;
}

bool MayOwnKeys(const GatewayTables& tables, const ServerRow& server) {
  const auto rollout = FindRollout(tables, server.m_entry.m_service);
  if (!rollout) {
    return true;
  }
  switch (rollout->GroupOf(server.m_entry.m_software_version)) {
    case VersionGroup::kRejected:
      return false;
    case VersionGroup::kTarget:
      return rollout->m_share > 0;
    case VersionGroup::kOthers:
      break;
  }
  // Keys stay served if the last server of the target version is lost.
  return rollout->m_share < 1 ||
         !tables.m_servers
              .FindIf([&](const ServerRow& other) {
                return other.m_entry.m_service == server.m_entry.m_service &&
                       other.m_entry.m_software_version == rollout->m_target &&
                       IsEligible(other);
              })
              .IsValid();
}

}  // namespace foxtail
