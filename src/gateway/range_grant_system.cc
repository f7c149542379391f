#include "gateway/range_grant_system.h"

#include <algorithm>

#include "gateway/grant_log_system.h"

namespace foxtail {
namespace {

using PhaseHandler = void (*)(GatewayTables&, RangeId, RangeRow&, const Now&);

// The leader normally renews its authority well before this much of it is left.
// If less is left, the store does not respond, and grants must outlast the
// outage.
constexpr std::chrono::milliseconds kOutageAuthorityThreshold{850};

// A server that fails again this soon after a failure is not logged as down
// once more.
constexpr std::chrono::milliseconds kServerDownLogInterval{1000};

Duration AddClockDrift(const OwnershipSettings& settings, Duration ttl) {
  return std::chrono::duration_cast<Duration>(ttl *
                                              (1 + settings.m_clock_drift));
}

// Returns the TTL of the next grant. Renewals at a server that does not respond
// must not extend the time for which it may own the keys, or the keys could
// never move to another server.
Duration GrantTtlFor(const GatewayTables& tables,
                     const ServerRow& server,
                     const RangeRow& row,
                     const Now& now) {
  const OwnershipSettings& settings = tables.m_settings;
  const Duration ttl = tables.m_leader_lease.m_outage_ttl_active
                           ? settings.m_outage_grant_ttl
                           : settings.m_grant_ttl;
  if (server.m_consecutive_failures == 0 ||
      row.m_phase == RangePhase::kGranting) {
    return ttl;
  }
  const Duration left =
      row.m_granted_until - now.m_steady - settings.m_server_call_timeout;
  return std::min(ttl, std::chrono::duration_cast<Duration>(
                           left / (1 + settings.m_clock_drift)));
}

void SendGrant(GatewayTables& tables,
               RangeId id,
               RangeRow& row,
               const Now& now) {
  const OwnershipSettings& settings = tables.m_settings;
  const ServerRow* server = FindServer(tables, row.m_owner);
  const Duration ttl =
      server ? GrantTtlFor(tables, *server, row, now) : Duration();
  if (ttl < settings.m_min_grant_ttl) {
    row.m_next_server_call_at =
        now.m_steady + settings.m_server_call_retry_delay;
    return;
  }
  // The TTL counts from the arrival of the call at the server, which is no
  // later than the timeout of the call.
  row.m_prior_granted_until = row.m_granted_until;
  row.m_granted_until = std::max(row.m_granted_until,
                                 now.m_steady + settings.m_server_call_timeout +
                                     AddClockDrift(settings, ttl));
  row.m_call_in_flight = true;
  row.m_may_be_granted = true;
  // A call may reach another life of the server than the call before it did,
  // and a call without a response may be executed after it.
  row.m_fence = IssueFencingToken(tables);
  tables.m_outbox.emplace_back(GrantCommand{
      id, row.m_owner, server->m_entry.m_incarnation, server->m_entry.m_address,
      row.m_range, row.m_fence, ttl, row.m_handover});
}

void SkipRange(GatewayTables&, RangeId, RangeRow&, const Now&) {}

// A late grant may be executed after the release, and the previous owner would
// own the range again. A server rejects it once it has seen a higher fencing
// token, so the range is granted once more with such a token. The TTL of this
// grant is minimal because the server is about to release the range.
void FencePreviousOwner(GatewayTables& tables,
                        RangeId id,
                        RangeRow& row,
                        const BackendServerEntry& previous) {
  row.m_fence = IssueFencingToken(tables);
  tables.m_outbox.emplace_back(GrantCommand{
      id, previous.m_id, previous.m_incarnation, previous.m_address,
      row.m_range, row.m_fence, tables.m_settings.m_fencing_grant_ttl, ""});
}

// The owner may have late grants from now on. A successor that still read of
// the previous owner's would show its higher token to the wrong one of the two.
void RecordReleasedRange(GatewayTables& tables, RangeRow& row) {
  ServiceRow& service = tables.m_services.Get(row.m_service);
  row.m_late_grant_recorded = false;
  row.m_phase = RangePhase::kRecording;
  row.m_record_number = service.m_record_number + 1;
  service.m_dirty = true;
}

// A previous owner with a late grant is fenced by a grant, so it is called only
// once no other one may still own the range.
const PreviousOwner& NextToRelease(const RangeRow& row) {
  const auto found = std::ranges::find(row.m_previous_owners, false,
                                       &PreviousOwner::m_has_late_grant);
  return found != row.m_previous_owners.end() ? *found
                                              : row.m_previous_owners.back();
}

void ReleasePreviousOwner(GatewayTables& tables,
                          RangeId id,
                          RangeRow& row,
                          const Now& now) {
  std::erase_if(row.m_previous_owners, [&tables](const PreviousOwner& owner) {
    const ServerRow* server = FindServer(tables, owner.m_server);
    return server && server->m_ended;
  });
  if (row.m_previous_owners.empty() || now.m_steady >= row.m_granted_until) {
    row.m_previous_owners.clear();
    if (row.m_late_grant_recorded) {
      RecordReleasedRange(tables, row);
      return;
    }
    row.m_phase = RangePhase::kGranting;
    SendGrant(tables, id, row, now);
    return;
  }
  tables.WakeAt(row.m_granted_until);
  const PreviousOwner& owner = NextToRelease(row);
  const ServerRow* previous = FindServer(tables, owner.m_server);
  const OwnershipSettings& settings = tables.m_settings;
  // Once released, such a range has no owner until the store has answered.
  if (row.m_late_grant_recorded && tables.m_leader_lease.m_outage_ttl_active) {
    row.m_next_server_call_at =
        now.m_steady + settings.m_server_call_retry_delay;
    return;
  }
  // A call whose effect could last beyond the expiry would delay the move.
  const Duration max_effect =
      settings.m_server_call_timeout +
      AddClockDrift(settings, settings.m_fencing_grant_ttl);
  if (!previous || row.m_granted_until - now.m_steady < max_effect) {
    row.m_next_server_call_at = row.m_granted_until;
    return;
  }
  row.m_call_in_flight = true;
  const BackendServerEntry& entry = previous->m_entry;
  if (owner.m_has_late_grant && row.m_owner != entry.m_id) {
    FencePreviousOwner(tables, id, row, entry);
    return;
  }
  const Duration timeout = std::min(settings.m_release_call_timeout,
                                    row.m_granted_until - now.m_steady);
  // Servers accept a release with any fencing token.
  tables.m_outbox.emplace_back(
      ReleaseCommand{id, entry.m_id, entry.m_incarnation, entry.m_address,
                     row.m_range, IssueFencingToken(tables), timeout});
}

struct PhaseEntry {
  RangePhase m_phase;
  PhaseHandler m_handler;
};

constexpr std::array<PhaseEntry, 5> kPhaseHandlers = {{
    {RangePhase::kUnowned, &SkipRange},
    {RangePhase::kRecording, &SkipRange},
    {RangePhase::kReleasing, &ReleasePreviousOwner},
    {RangePhase::kGranting, &SendGrant},
    {RangePhase::kStable, &SendGrant},
}};

PhaseHandler HandlerOf(RangePhase phase) {
  return std::ranges::find(kPhaseHandlers, phase, &PhaseEntry::m_phase)
      ->m_handler;
}

bool HasServerCall(RangePhase phase) {
  return phase == RangePhase::kReleasing || phase == RangePhase::kGranting ||
         phase == RangePhase::kStable;
}

// A server that restarted under the same id owns no keys until it is granted
// them again.
void HandleServerRestart(GatewayTables& tables, RangeRow& row) {
  const ServerRow* server = FindServer(tables, row.m_owner);
  if (!server || server->m_entry.m_incarnation == row.m_owner_incarnation ||
      !HasServerCall(row.m_phase)) {
    return;
  }
  row.m_owner_incarnation = server->m_entry.m_incarnation;
  row.m_next_server_call_at = TimePoint();
}

// Without an owners record in the present era of the store, the next leader
// could not know of grants of this one.
bool IsRecordedInEra(const GatewayTables& tables, const RangeRow& row) {
  if (!tables.m_store_era.m_changed) {
    return true;
  }
  const ServiceRow* service = tables.m_services.Find(row.m_service);
  return service && NumberOfVersion(service->m_row_version) != 0;
}

void UpdateOutageTtl(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lease = tables.m_leader_lease;
  const Duration left = lease.m_authority_until - now.m_boot;
  if (left > kOutageAuthorityThreshold) {
    lease.m_outage_ttl_active = false;
    tables.WakeAt(now.m_steady + (left - kOutageAuthorityThreshold));
    return;
  }
  if (lease.m_outage_ttl_active) {
    return;
  }
  lease.m_outage_ttl_active = true;
  tables.m_events.push_back({EventNumber::kOutageHolds, {}});
  tables.m_ranges.ForEach([](RangeId, RangeRow& row) {
    if (row.m_phase == RangePhase::kStable) {
      row.m_next_server_call_at = TimePoint();
    }
  });
}

// A leader that cannot reach most servers cannot renew their grants, on
// whichever side of the network partition it is.
void ResignIfPartitioned(GatewayTables& tables) {
  size_t eligible = 0;
  size_t failing = 0;
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    eligible += IsEligible(server) ? 1 : 0;
    failing += IsEligible(server) && server.m_consecutive_failures > 1 ? 1 : 0;
  });
  if (failing >= 3 && failing * 2 > eligible &&
      !tables.m_leader_lease.m_resigning) {
    tables.m_leader_lease.m_resigning = true;
    tables.m_leader_lease.m_next_store_call_at = TimePoint();
  }
}

void RecordCallOutcome(GatewayTables& tables,
                       const GrantCommand& command,
                       ServerCallOutcome outcome,
                       const Now& now) {
  ServerRow* server = FindServer(tables, command.m_server);
  // The outcome tells nothing of a server that has started again since.
  if (!server || server->m_entry.m_incarnation != command.m_incarnation) {
    return;
  }
  // A timeout is no evidence against the server if this process was late: it
  // may not have sent the call or not have read the response in time.
  if (outcome == ServerCallOutcome::kUnknown && tables.WasLate(now)) {
    return;
  }
  const bool failed = outcome == ServerCallOutcome::kUnknown ||
                      outcome == ServerCallOutcome::kGone ||
                      outcome == ServerCallOutcome::kReplaced;
  if (!failed) {
    server->m_consecutive_failures = 0;
    return;
  }
  server->m_ended = server->m_ended || outcome == ServerCallOutcome::kReplaced;
  if (server->m_consecutive_failures++ > 0) {
    return;
  }
  // Each failed call is also part of an `order_failed` line.
  if (now.m_steady - server->m_failing_since >= kServerDownLogInterval) {
    tables.m_events.push_back(
        {EventNumber::kServerDown,
         {{"cell", server->m_entry.m_service}, {"server", command.m_server}}});
  }
  server->m_failing_since = now.m_steady;
}

template <typename Command>
void LogIfFailed(GatewayTables& tables,
                 const std::string& order,
                 const Command& command,
                 ServerCallOutcome outcome,
                 const Now& now) {
  if (outcome != ServerCallOutcome::kDone) {
    GrantLogSystem::OnCallFailed(
        tables,
        {order, command.m_server, command.m_address, command.m_incarnation,
         command.m_keys, command.m_fence, outcome},
        now);
  }
}

void ConfirmGrant(GatewayTables& tables, RangeRow& row, const Now& now) {
  ServiceRow& service = tables.m_services.Get(row.m_service);
  if (!service.m_dirty) {
    service.m_next_store_call_at =
        std::max(service.m_next_store_call_at,
                 now.m_steady + tables.m_settings.m_confirmation_batch_delay);
  }
  service.m_dirty = true;
  row.m_phase = RangePhase::kStable;
  row.m_handover.clear();
  GrantLogSystem::OnGrantConfirmed(tables, row, now);
}

// Goes on with the move of a range that a previous owner no longer holds.
void RemovePreviousOwner(RangeRow& row, const std::string& server) {
  std::erase_if(row.m_previous_owners, [&server](const PreviousOwner& owner) {
    return owner.m_server == server;
  });
  row.m_next_server_call_at = TimePoint();
}

// A range that moves back to a previous owner is released by it without fencing
// it, so its late grant stays and counts if the range moves once more.
void KeepLateGrantOfOwner(RangeRow& row) {
  const bool has_late_grant = std::ranges::any_of(
      row.m_previous_owners, [&row](const PreviousOwner& previous) {
        return previous.m_server == row.m_owner && previous.m_has_late_grant;
      });
  if (has_late_grant) {
    row.m_may_be_granted = true;
    row.m_late_grant_until = row.m_granted_until;
  }
}

void OnPreviousOwnerFenced(RangeRow& row,
                           const GrantCommand& command,
                           ServerCallOutcome outcome,
                           const OwnershipSettings& settings,
                           const Now& now) {
  if (outcome == ServerCallOutcome::kReplaced) {
    RemovePreviousOwner(row, command.m_server);
    return;
  }
  const bool fenced = outcome == ServerCallOutcome::kDone;
  row.m_next_server_call_at =
      now.m_steady + (fenced ? Duration() : settings.m_server_call_retry_delay);
  for (PreviousOwner& previous : row.m_previous_owners) {
    if (fenced && previous.m_server == command.m_server) {
      previous.m_has_late_grant = false;
    }
  }
}

}  // namespace

void RangeGrantSystem::Run(GatewayTables& tables, const Now& now) {
  if (!tables.IsLeading(now)) {
    return;
  }
  UpdateOutageTtl(tables, now);
  ResignIfPartitioned(tables);
  tables.m_ranges.ForEach([&](RangeId id, RangeRow& row) {
    if (row.m_call_in_flight || !IsRecordedInEra(tables, row)) {
      return;
    }
    HandleServerRestart(tables, row);
    if (now.m_steady >= row.m_next_server_call_at) {
      HandlerOf(row.m_phase)(tables, id, row, now);
    } else if (HasServerCall(row.m_phase)) {
      tables.WakeAt(row.m_next_server_call_at);
    }
  });
}

void RangeGrantSystem::OnGranted(GatewayTables& tables,
                                 const GrantCommand& command,
                                 ServerCallOutcome outcome,
                                 const Now& now) {
  LogIfFailed(tables, "grant", command, outcome, now);
  RangeRow* row = tables.m_ranges.Find(command.m_range);
  if (!row) {
    return;
  }
  const OwnershipSettings& settings = tables.m_settings;
  row->m_call_in_flight = false;
  RecordCallOutcome(tables, command, outcome, now);
  if (command.m_server != row->m_owner) {
    OnPreviousOwnerFenced(*row, command, outcome, settings, now);
    return;
  }
  if (outcome == ServerCallOutcome::kUnknown) {
    row->m_late_grant_until =
        std::max(row->m_late_grant_until, row->m_granted_until);
  }
  if (outcome == ServerCallOutcome::kReplaced) {
    row->m_may_be_granted = false;
  }
  if (outcome != ServerCallOutcome::kDone) {
    row->m_next_server_call_at =
        now.m_steady + settings.m_server_call_retry_delay;
    return;
  }
  // The server rejects all earlier calls from now on.
  row->m_late_grant_until = TimePoint();
  row->m_granted_until =
      std::max(row->m_prior_granted_until,
               now.m_steady + AddClockDrift(settings, command.m_grant_ttl));
  row->m_next_server_call_at = now.m_steady + settings.m_grant_renew_period;
  if (row->m_phase == RangePhase::kGranting) {
    ConfirmGrant(tables, *row, now);
  }
}

void RangeGrantSystem::OnReleased(GatewayTables& tables,
                                  const ReleaseCommand& command,
                                  ServerCallOutcome outcome,
                                  const std::string& handover,
                                  const Now& now) {
  LogIfFailed(tables, "release", command, outcome, now);
  RangeRow* row = tables.m_ranges.Find(command.m_range);
  if (!row) {
    return;
  }
  row->m_call_in_flight = false;
  row->m_next_server_call_at =
      now.m_steady + tables.m_settings.m_server_call_retry_delay;
  if (outcome == ServerCallOutcome::kDone ||
      outcome == ServerCallOutcome::kReplaced) {
    row->m_handover = handover.empty() ? row->m_handover : handover;
    if (command.m_server == row->m_owner) {
      KeepLateGrantOfOwner(*row);
    }
    RemovePreviousOwner(*row, command.m_server);
  }
}

}  // namespace foxtail
