#include "gateway/leadership_system.h"

#include <algorithm>

#include "core/error.h"
#include "gateway/store_era_system.h"

namespace foxtail {
namespace {

// A process that has released or lost the lease does not try to acquire it
// again for this time.
constexpr std::chrono::seconds kReacquireDelay{5};

// Bounds the rank, and so the delay, of the weakest hosts.
constexpr uint32_t kMaxRank = 10;

// Hosts with less processor time than this, in cores, delay their first attempt
// to acquire the lease by up to the delay below: leading hundreds of servers
// takes about a tenth of a core, and at the first start a host does not know
// yet whether stronger ones exist.
constexpr double kStrongHost = 0.5;
constexpr std::chrono::milliseconds kMaxWeakHostDelay{250};

// The same at the first start of all hosts, when none knows of others. Without
// it, hundreds of hosts would try to acquire the lease at the same time.
constexpr std::chrono::milliseconds kMaxWeakHostFirstDelay{1000};

// Number of tokens after which a leader resigns, so that the counter of a token
// never reaches the epoch.
constexpr uint64_t kMaxTokensOfALeader = uint64_t{1} << (kFenceCounterBits - 1);

bool IsHeldBySelf(const GatewayTables& tables,
                  const LeaderLeaseRecord& record) {
  return record.m_address == tables.m_self.m_address &&
         record.m_incarnation == tables.m_self.m_incarnation;
}

void ApplyRow(GatewayTables& tables,
              const LeaderLeaseRecord& record,
              uint64_t version,
              const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (!lease.m_row_loaded || lease.m_row_version != version) {
    lease.m_unchanged_since = now.m_steady;
  }
  lease.m_row_loaded = true;
  lease.m_record = record;
  lease.m_row_version = version;
  lease.m_highest_epoch = std::max(lease.m_highest_epoch, record.m_epoch);
  if (NumberOfVersion(version) != 0 && !IsHeldBySelf(tables, record)) {
    lease.m_may_continue = false;
  }
}

void StopLeading(GatewayTables& tables, EventNumber event, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  tables.m_events.push_back(
      {event,
       {{"cell", "cluster"}, {"epoch", lease.m_pending_record.m_epoch}}});
  lease.m_phase = LeaderLeasePhase::kFollower;
  lease.m_resigning = false;
  lease.m_next_acquire_at = now.m_steady + kReacquireDelay;
}

// Returns the epoch of the next leader: above all epochs that are known here,
// and above all of older eras.
uint64_t NextEpoch(const GatewayTables& tables) {
  const LeaderLeaseState& lease = tables.m_leader_lease;
  return std::max({lease.m_record.m_epoch, lease.m_highest_epoch,
                   tables.GetEra() << kEraEpochBits}) +
         1;
}

// Without the announcement the members would look for a leader in the store,
// one after the other, and refuse requests meanwhile.
void AnnounceSelf(GatewayTables& tables) {
  const LeaderLeaseState& lease = tables.m_leader_lease;
  tables.m_outbox.emplace_back(SendDatagramCommand{
      ListOtherMembers(tables),
      LeaderAnnouncement{tables.m_self.m_address, lease.m_record.m_epoch,
                         lease.m_row_version}});
}

void StartLeading(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  lease.m_phase = LeaderLeasePhase::kLeader;
  lease.m_outage_ttl_active = false;
  lease.m_last_fence = lease.m_record.m_epoch << kFenceCounterBits;
  tables.m_events.push_back(
      {EventNumber::kControlLeaseAcquired,
       {{"cell", "cluster"}, {"epoch", lease.m_record.m_epoch}}});
  if (std::exchange(lease.m_may_continue, false)) {
    AnnounceSelf(tables);
    return;
  }
  tables.m_tokens.emplace(tables.m_settings.m_outstanding_token_ttl);
  tables.m_tokens->Begin(now.m_steady);
  tables.m_rates_advanced_at = now.m_steady;
  tables.m_rates_accrued_for = Duration(0);
  // A new leader reloads all owners from the store.
  tables.m_services.ForEach(
      [&tables](ServiceId id, ServiceRow&) { tables.m_services.Erase(id); });
  tables.m_ranges.ForEach(
      [&tables](RangeId id, RangeRow&) { tables.m_ranges.Erase(id); });
  tables.m_members.ForEach([&](MemberId, MemberRow& row) {
    row.m_contact.Reset();
    row.m_deregister_at = {};
  });
  AnnounceSelf(tables);
}

// Takes over what a message of the leader says of the lease, if it is news.
void AdoptLeader(LeaderLeaseState& lease,
                 const std::string& address,
                 uint64_t epoch,
                 uint64_t lease_version,
                 const Now& now) {
  if (lease_version <= lease.m_row_version) {
    return;
  }
  lease.m_record.m_address = address;
  lease.m_record.m_epoch = epoch;
  lease.m_record.m_released = false;
  lease.m_row_version = lease_version;
  lease.m_highest_epoch = std::max(lease.m_highest_epoch, epoch);
  lease.m_may_continue = false;
  lease.m_unchanged_since = now.m_steady;
  lease.m_row_loaded = true;
}

uint32_t RankOfSelf(const GatewayTables& tables) {
  uint32_t rank = 0;
  tables.m_members.ForEach([&](MemberId, const MemberRow& row) {
    rank += IsStronger(row.m_record, tables.m_self) ? 1 : 0;
  });
  return std::min(rank, kMaxRank);
}

Duration WeakHostDelay(const GatewayTables& tables) {
  const double weakness =
      std::max(0.0, 1 - tables.m_self.m_processor_share / kStrongHost);
  const auto longest =
      tables.m_members.size() > 1 ? kMaxWeakHostDelay : kMaxWeakHostFirstDelay;
  return std::chrono::duration_cast<Duration>(longest * weakness);
}

void WriteLease(GatewayTables& tables,
                LeaderLeaseRecord record,
                const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  lease.m_pending_record = std::move(record);
  lease.m_pending_sent_at = now.m_boot;
  lease.m_call_in_flight = true;
  RowWrite write{kLeaderLeaseTable,
                 EncodeEraKey({tables.GetEra(), kLeaderLeaseKey}),
                 lease.m_row_version, EncodeRecord(lease.m_pending_record)};
  tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
}

// Reads the whole table, since the key depends on the era, which may not be
// known. The rows of older eras tell the highest epoch.
void ReadLease(GatewayTables& tables) {
  tables.m_leader_lease.m_call_in_flight = true;
  tables.m_outbox.emplace_back(
      ReadRowCommand{kLeaderLeaseTable, "", tables.m_store_era.m_era});
}

// Returns the row of the present era, or null.
const StoredRow* FindLeaseRow(GatewayTables& tables,
                              const RowsResult& result,
                              const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  const StoredRow* present = nullptr;
  for (const StoredRow& row : result.m_rows) {
    if (DecodeEraKey(row.m_key).m_era == tables.GetEra()) {
      present = &row;
      continue;
    }
    StoreEraSystem::OnOlderRow(tables, now);
    try {
      const LeaderLeaseRecord older = DecodeLeaderLeaseRecord(row.m_value);
      lease.m_highest_epoch = std::max(lease.m_highest_epoch, older.m_epoch);
    } catch (const Error& failure) {
      LogUnreadableRow(tables, kLeaderLeaseTable, row.m_key, failure.what());
    }
  }
  return present;
}

// The lease is free if it does not exist or was released, if its holder was an
// earlier run on this host, or if its row has not changed for its TTL. After a
// change of the era, the leader of an older one may act until the TTL is over.
bool IsLeaseFree(const GatewayTables& tables, const Now& now) {
  const LeaderLeaseState& lease = tables.m_leader_lease;
  if (NumberOfVersion(lease.m_row_version) == 0) {
    const StoreEraState& era = tables.m_store_era;
    return !era.m_changed || lease.m_may_continue ||
           now.m_steady - era.m_changed_at >=
               tables.m_settings.m_leader_lease_ttl;
  }
  return lease.m_record.m_released ||
         lease.m_record.m_address == tables.m_self.m_address ||
         now.m_steady - lease.m_unchanged_since >=
             tables.m_settings.m_leader_lease_ttl;
}

// Sets the next call of a follower that has read the row. A free lease is
// acquired at once, before hosts that wait longer read the row. A leader that
// the read has shown gets time to respond to a report before the next read, at
// the latest until its lease may have expired.
void ScheduleFollower(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (lease.m_phase != LeaderLeasePhase::kFollower) {
    return;
  }
  if (IsLeaseFree(tables, now)) {
    lease.m_next_store_call_at = now.m_steady;
    return;
  }
  const TimePoint expires_at =
      lease.m_unchanged_since + tables.m_settings.m_leader_lease_ttl;
  const TimePoint silent_at =
      now.m_steady + tables.m_settings.m_leader_silence_timeout;
  const Duration rank_delay =
      RankOfSelf(tables) * tables.m_settings.m_rank_delay;
  lease.m_next_store_call_at =
      silent_at < expires_at ? silent_at : expires_at + rank_delay;
}

void RunFollower(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (tables.m_shutting_down) {
    return;
  }
  if (now.m_steady < lease.m_next_acquire_at) {
    tables.WakeAt(lease.m_next_acquire_at);
    return;
  }
  const Duration rank_delay =
      RankOfSelf(tables) * tables.m_settings.m_rank_delay;
  const TimePoint leader_silent_at =
      lease.m_leader_last_heard_at +
      tables.m_settings.m_leader_silence_timeout + rank_delay;
  if (lease.m_row_loaded && !lease.m_may_continue &&
      now.m_steady < leader_silent_at) {
    tables.WakeAt(leader_silent_at);
    return;
  }
  const TimePoint first_attempt_at =
      tables.m_started_at + WeakHostDelay(tables);
  if (now.m_steady < first_attempt_at) {
    tables.WakeAt(first_attempt_at);
    return;
  }
  if (now.m_steady < lease.m_next_store_call_at) {
    tables.WakeAt(lease.m_next_store_call_at);
    return;
  }
  // The row may be newer in the store; the conditional write fails then.
  if (lease.m_row_loaded && !lease.m_write_outcome_unknown &&
      IsLeaseFree(tables, now)) {
    LeaderLeaseRecord record;
    record.m_address = tables.m_self.m_address;
    record.m_incarnation = tables.m_self.m_incarnation;
    record.m_epoch = NextEpoch(tables);
    lease.m_phase = LeaderLeasePhase::kAcquiring;
    WriteLease(tables, std::move(record), now);
    return;
  }
  ReadLease(tables);
}

void RunLeader(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (now.m_steady < lease.m_next_store_call_at) {
    tables.WakeAt(lease.m_next_store_call_at);
    return;
  }
  if (lease.m_write_outcome_unknown) {
    ReadLease(tables);
    return;
  }
  const uint64_t tokens =
      lease.m_last_fence - (lease.m_record.m_epoch << kFenceCounterBits);
  lease.m_resigning = lease.m_resigning || tokens > kMaxTokensOfALeader;
  LeaderLeaseRecord record = lease.m_record;
  ++record.m_renewals;
  record.m_released = tables.m_shutting_down || lease.m_resigning;
  if (record.m_released) {
    // The next leader may acquire the lease before the response arrives here,
    // if it ever does.
    lease.m_authority_until = {};
  }
  WriteLease(tables, std::move(record), now);
}

void OnWriteConfirmed(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  const OwnershipSettings& settings = tables.m_settings;
  lease.m_write_outcome_unknown = false;
  lease.m_next_store_call_at =
      now.m_steady + settings.m_leader_lease_renew_period;
  if (lease.m_pending_record.m_released) {
    StopLeading(tables, EventNumber::kControlLeaseReleased, now);
    return;
  }
  lease.m_authority_until = lease.m_pending_sent_at +
                            settings.m_leader_lease_ttl -
                            settings.m_leader_lease_margin;
  if (lease.m_phase == LeaderLeasePhase::kAcquiring) {
    StartLeading(tables, now);
  }
}

}  // namespace

void LeadershipSystem::Run(GatewayTables& tables, const Now& now) {
  if (tables.m_leader_lease.m_call_in_flight) {
    return;
  }
  if (tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader) {
    RunLeader(tables, now);
  } else {
    RunFollower(tables, now);
  }
}

void LeadershipSystem::OnRead(GatewayTables& tables,
                              const RowsResult& result,
                              const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  lease.m_call_in_flight = false;
  lease.m_next_store_call_at =
      now.m_steady + tables.m_settings.m_leader_lease_read_period;
  if (result.m_outcome != StoreOutcome::kDone) {
    // While the store fails, the strongest hosts are enough to notice when it
    // is back.
    lease.m_next_store_call_at +=
        RankOfSelf(tables) * tables.m_settings.m_rank_delay;
    return;
  }
  LeaderLeaseRecord record;
  uint64_t version = tables.GetMissingRowVersion();
  if (const StoredRow* row = FindLeaseRow(tables, result, now)) {
    try {
      record = DecodeLeaderLeaseRecord(row->m_value);
    } catch (const Error& failure) {
      // The version of an unreadable row is kept, so that the row can be
      // replaced once its TTL has passed.
      LogUnreadableRow(tables, kLeaderLeaseTable, kLeaderLeaseKey,
                       failure.what());
    }
    version = row->m_version;
  }
  const bool write_took_effect =
      lease.m_write_outcome_unknown && record == lease.m_pending_record;
  const bool version_changed = version != lease.m_row_version;
  ApplyRow(tables, record, version, now);
  if (write_took_effect) {
    OnWriteConfirmed(tables, now);
    return;
  }
  lease.m_write_outcome_unknown = false;
  if (lease.m_phase == LeaderLeasePhase::kLeader && version_changed &&
      !IsHeldBySelf(tables, record)) {
    StopLeading(tables, EventNumber::kControlLeaseLost, now);
  } else if (lease.m_phase == LeaderLeasePhase::kAcquiring) {
    lease.m_phase = LeaderLeasePhase::kFollower;
  }
  if (lease.m_phase == LeaderLeasePhase::kLeader) {
    lease.m_next_store_call_at = now.m_steady;
  }
  ScheduleFollower(tables, now);
}

void LeadershipSystem::OnWritten(GatewayTables& tables,
                                 const WriteResult& result,
                                 const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  lease.m_call_in_flight = false;
  if (result.m_outcome == StoreOutcome::kDone) {
    ApplyRow(tables, lease.m_pending_record, result.m_version, now);
    OnWriteConfirmed(tables, now);
    return;
  }
  lease.m_next_store_call_at =
      now.m_steady + tables.m_settings.m_store_retry_delay;
  // After a version mismatch, either another process wrote the row or an
  // earlier write of this process took effect late. Without a response the
  // write may still take effect. A read of the row shows which.
  lease.m_write_outcome_unknown =
      result.m_outcome == StoreOutcome::kVersionMismatch ||
      result.m_outcome == StoreOutcome::kUnknown;
  if (result.m_outcome == StoreOutcome::kVersionMismatch) {
    lease.m_next_store_call_at = now.m_steady;
  }
  if (lease.m_phase == LeaderLeasePhase::kAcquiring &&
      !lease.m_write_outcome_unknown) {
    lease.m_phase = LeaderLeasePhase::kFollower;
  }
}

void LeadershipSystem::OnEraKnown(GatewayTables& tables) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (EraOfVersion(lease.m_row_version) != tables.GetEra()) {
    lease.m_row_version = tables.GetMissingRowVersion();
    lease.m_row_loaded = false;
  }
}

// The row of the new era may exist by now. That is found out when it is written
// or read: until then it counts as missing.
void LeadershipSystem::OnEraChanged(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (lease.m_phase == LeaderLeasePhase::kLeader) {
    lease.m_may_continue = true;
    lease.m_continue_until = lease.m_authority_until;
  }
  lease.m_may_continue = lease.m_may_continue && !lease.m_resigning &&
                         !tables.m_shutting_down &&
                         now.m_boot < lease.m_continue_until;
  if (lease.m_phase == LeaderLeasePhase::kLeader) {
    StopLeading(tables, EventNumber::kControlLeaseLost, now);
  }
  lease.m_phase = LeaderLeasePhase::kFollower;
  lease.m_call_in_flight = false;
  lease.m_write_outcome_unknown = false;
  lease.m_row_version = tables.GetMissingRowVersion();
  lease.m_unchanged_since = now.m_steady;
  lease.m_authority_until = {};
  if (lease.m_may_continue) {
    lease.m_next_acquire_at = {};
    lease.m_next_store_call_at = now.m_steady;
  }
}

void LeadershipSystem::OnReportResponse(GatewayTables& tables,
                                        const ReportResponse& response,
                                        const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (!StoreEraSystem::OnMessage(tables, response.m_leader_lease_version,
                                 now)) {
    return;
  }
  if (response.m_epoch < lease.m_record.m_epoch ||
      lease.m_phase == LeaderLeasePhase::kLeader) {
    return;
  }
  lease.m_leader_last_heard_at =
      response.m_shutting_down ? TimePoint() : now.m_steady;
  AdoptLeader(lease, response.m_address, response.m_epoch,
              response.m_leader_lease_version, now);
  if (response.m_shutting_down) {
    lease.m_row_loaded = false;  // forces a read of the row
    lease.m_next_store_call_at = now.m_steady;
  }
}

void LeadershipSystem::OnAnnouncement(GatewayTables& tables,
                                      const LeaderAnnouncement& announcement,
                                      const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  if (!StoreEraSystem::OnMessage(tables, announcement.m_leader_lease_version,
                                 now)) {
    return;
  }
  if (announcement.m_epoch < lease.m_record.m_epoch ||
      lease.m_phase == LeaderLeasePhase::kLeader) {
    return;
  }
  lease.m_leader_last_heard_at = now.m_steady;
  AdoptLeader(lease, announcement.m_address, announcement.m_epoch,
              announcement.m_leader_lease_version, now);
  // Requests may wait for this leader's tokens.
  tables.m_leader_tokens.emplace_back();
}

}  // namespace foxtail
