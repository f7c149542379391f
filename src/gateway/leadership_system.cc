#include "gateway/leadership_system.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {
namespace {

// How long a planned stop leaves the lease alone after giving it back, and a
// leader that lost it waits before it competes again.
constexpr std::chrono::seconds kAbstention{5};

// Members after this many wait no longer than it.
constexpr uint32_t kLastRank = 10;

// Hosts with less than this, in cores, wait up to the pause below before they
// take a free lease: leading hundreds of servers takes about a tenth of a core,
// and at the first start nobody knows of stronger hosts yet.
constexpr double kStrongHost = 0.5;
constexpr std::chrono::milliseconds kWeakHostPause{250};

// A fencing token is the leader's epoch followed by a number of its own.
constexpr uint32_t kFenceBits = 24;

bool IsOwn(const GatewayTables& tables, const LeadRecord& record) {
  return record.m_address == tables.m_self.m_address &&
         record.m_incarnation == tables.m_self.m_incarnation;
}

void AdoptRow(GatewayTables& tables,
              const LeadRecord& record,
              uint64_t version,
              const Now& now) {
  LeadState& lead = tables.m_lead;
  if (!lead.m_known || lead.m_row_version != version) {
    lead.m_unchanged_since = now.m_steady;
  }
  lead.m_known = true;
  lead.m_record = record;
  lead.m_row_version = version;
}

void StopLeading(GatewayTables& tables, EventNumber event, const Now& now) {
  LeadState& lead = tables.m_lead;
  tables.m_events.push_back(
      {event, {{"cell", "cluster"}, {"epoch", lead.m_pending.m_epoch}}});
  lead.m_phase = LeadPhase::kFollowing;
  lead.m_resigning = false;
  lead.m_not_before = now.m_steady + kAbstention;
}

void StartLeading(GatewayTables& tables, const Now& now) {
  LeadState& lead = tables.m_lead;
  lead.m_phase = LeadPhase::kLeading;
  lead.m_outage_holds = false;
  tables.m_tokens.emplace(tables.m_settings.m_token_lifetime);
  tables.m_tokens->Begin(now.m_steady);
  lead.m_last_fence = lead.m_record.m_epoch << kFenceBits;
  tables.m_events.push_back(
      {EventNumber::kControlLeaseAcquired,
       {{"cell", "cluster"}, {"epoch", lead.m_record.m_epoch}}});
  // Everything about owners is read anew under this lease.
  tables.m_services.ForEach(
      [&tables](ServiceId id, ServiceRow&) { tables.m_services.Erase(id); });
  tables.m_ranges.ForEach(
      [&tables](RangeId id, RangeRow&) { tables.m_ranges.Erase(id); });
  tables.m_members.ForEach([](MemberId, MemberRow& row) { row.m_heard = {}; });
}

// Strong hosts come first.
bool ComesBefore(const MemberRecord& a, const MemberRecord& b) {
  return a.m_processor_share != b.m_processor_share
             ? a.m_processor_share > b.m_processor_share
             : a.m_address < b.m_address;
}

uint32_t RankOfSelf(const GatewayTables& tables) {
  uint32_t rank = 0;
  tables.m_members.ForEach([&](MemberId, const MemberRow& row) {
    rank += ComesBefore(row.m_record, tables.m_self) ? 1 : 0;
  });
  return std::min(rank, kLastRank);
}

Duration WeakHostPause(const GatewayTables& tables) {
  const double weakness =
      std::max(0.0, 1 - tables.m_self.m_processor_share / kStrongHost);
  return std::chrono::duration_cast<Duration>(kWeakHostPause * weakness);
}

void WriteLead(GatewayTables& tables, LeadRecord record, const Now& now) {
  LeadState& lead = tables.m_lead;
  lead.m_pending = std::move(record);
  lead.m_pending_sent = now.m_boot;
  lead.m_busy = true;
  RowWrite write{kLeadTable, kLeadKey, lead.m_row_version,
                 EncodeRecord(lead.m_pending)};
  tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
}

void ReadLead(GatewayTables& tables) {
  tables.m_lead.m_busy = true;
  tables.m_outbox.emplace_back(ReadRowCommand{kLeadTable, kLeadKey});
}

// Nobody acts under the row any more: it was given back, its holder was an
// earlier run of this very host, or it has not changed for its validity.
bool IsFree(const GatewayTables& tables, const Now& now) {
  const LeadState& lead = tables.m_lead;
  return lead.m_row_version == 0 || lead.m_record.m_released ||
         lead.m_record.m_address == tables.m_self.m_address ||
         now.m_steady - lead.m_unchanged_since >= tables.m_settings.m_lead_ttl;
}

void RunFollowing(GatewayTables& tables, const Now& now) {
  LeadState& lead = tables.m_lead;
  if (tables.m_stopping) {
    return;
  }
  if (now.m_steady < lead.m_not_before) {
    tables.WakeAt(lead.m_not_before);
    return;
  }
  const Duration rank_delay =
      RankOfSelf(tables) * tables.m_settings.m_rank_delay;
  const TimePoint silent_at =
      lead.m_leader_heard + tables.m_settings.m_leader_silence + rank_delay;
  if (lead.m_known && now.m_steady < silent_at) {
    tables.WakeAt(silent_at);
    return;
  }
  const TimePoint first_try = tables.m_started + WeakHostPause(tables);
  if (now.m_steady < first_try) {
    tables.WakeAt(first_try);
    return;
  }
  if (now.m_steady < lead.m_next_operation) {
    tables.WakeAt(lead.m_next_operation);
    return;
  }
  // A row that is written on an old version does no harm: the write fails.
  if (lead.m_known && !lead.m_uncertain && IsFree(tables, now)) {
    LeadRecord record;
    record.m_address = tables.m_self.m_address;
    record.m_incarnation = tables.m_self.m_incarnation;
    record.m_epoch = lead.m_record.m_epoch + 1;
    lead.m_phase = LeadPhase::kTaking;
    WriteLead(tables, std::move(record), now);
    return;
  }
  ReadLead(tables);
}

void RunLeading(GatewayTables& tables, const Now& now) {
  LeadState& lead = tables.m_lead;
  if (now.m_steady < lead.m_next_operation) {
    tables.WakeAt(lead.m_next_operation);
    return;
  }
  if (lead.m_uncertain) {
    ReadLead(tables);
    return;
  }
  LeadRecord record = lead.m_record;
  ++record.m_renewals;
  record.m_released = tables.m_stopping || lead.m_resigning;
  WriteLead(tables, std::move(record), now);
}

void OnConfirmed(GatewayTables& tables, const Now& now) {
  LeadState& lead = tables.m_lead;
  const OwnershipSettings& settings = tables.m_settings;
  lead.m_uncertain = false;
  lead.m_authority_until =
      lead.m_pending_sent + settings.m_lead_ttl - settings.m_lead_margin;
  lead.m_next_operation = now.m_steady + settings.m_lead_renewal;
  if (lead.m_pending.m_released) {
    StopLeading(tables, EventNumber::kControlLeaseReleased, now);
  } else if (lead.m_phase == LeadPhase::kTaking) {
    StartLeading(tables, now);
  }
}

}  // namespace

void LeadershipSystem::Run(GatewayTables& tables, const Now& now) {
  if (tables.m_lead.m_busy) {
    return;
  }
  if (tables.m_lead.m_phase == LeadPhase::kLeading) {
    RunLeading(tables, now);
  } else {
    RunFollowing(tables, now);
  }
}

void LeadershipSystem::OnRead(GatewayTables& tables,
                              const RowsResult& result,
                              const Now& now) {
  LeadState& lead = tables.m_lead;
  lead.m_busy = false;
  lead.m_next_operation = now.m_steady + tables.m_settings.m_lead_read;
  if (result.m_outcome != StoreOutcome::kDone) {
    return;
  }
  LeadRecord record;
  uint64_t version = 0;
  if (!result.m_rows.empty()) {
    try {
      record = DecodeLeadRecord(result.m_rows.front().m_value);
    } catch (const Error& failure) {
      // The row is of no use, but its version lets it be replaced in time.
      NoteUnreadable(tables, kLeadTable, kLeadKey, failure.what());
    }
    version = result.m_rows.front().m_version;
  }
  const bool written = lead.m_uncertain && record == lead.m_pending;
  const bool moved = version != lead.m_row_version;
  AdoptRow(tables, record, version, now);
  if (written) {
    OnConfirmed(tables, now);
    return;
  }
  lead.m_uncertain = false;
  if (lead.m_phase == LeadPhase::kLeading && moved && !IsOwn(tables, record)) {
    StopLeading(tables, EventNumber::kControlLeaseLost, now);
  } else if (lead.m_phase == LeadPhase::kTaking) {
    lead.m_phase = LeadPhase::kFollowing;
  }
  if (lead.m_phase == LeadPhase::kLeading) {
    lead.m_next_operation = now.m_steady;
  }
}

void LeadershipSystem::OnWritten(GatewayTables& tables,
                                 const WriteResult& result,
                                 const Now& now) {
  LeadState& lead = tables.m_lead;
  lead.m_busy = false;
  if (result.m_outcome == StoreOutcome::kDone) {
    AdoptRow(tables, lead.m_pending, result.m_version, now);
    OnConfirmed(tables, now);
    return;
  }
  lead.m_next_operation = now.m_steady + tables.m_settings.m_store_retry;
  // After a mismatch somebody else wrote, or an earlier write of our own came
  // late; after no answer the write may still come. The row tells.
  lead.m_uncertain = result.m_outcome == StoreOutcome::kVersionMismatch ||
                     result.m_outcome == StoreOutcome::kUnknown;
  if (result.m_outcome == StoreOutcome::kVersionMismatch) {
    lead.m_next_operation = now.m_steady;
  }
  if (lead.m_phase == LeadPhase::kTaking && !lead.m_uncertain) {
    lead.m_phase = LeadPhase::kFollowing;
  }
}

void LeadershipSystem::OnDigest(GatewayTables& tables,
                                const LeaderDigest& digest,
                                const Now& now) {
  LeadState& lead = tables.m_lead;
  if (digest.m_epoch < lead.m_record.m_epoch ||
      lead.m_phase == LeadPhase::kLeading) {
    return;
  }
  lead.m_leader_heard = digest.m_leaving ? TimePoint() : now.m_steady;
  if (digest.m_lead_version > lead.m_row_version) {
    lead.m_record.m_address = digest.m_address;
    lead.m_record.m_epoch = digest.m_epoch;
    lead.m_record.m_released = false;
    lead.m_row_version = digest.m_lead_version;
    lead.m_unchanged_since = now.m_steady;
    lead.m_known = true;
  }
  if (digest.m_leaving) {
    lead.m_known = false;  // read the row before anything else
    lead.m_next_operation = now.m_steady;
  }
}

}  // namespace foxtail
