#include "gateway/range_grant_system.h"

#include <algorithm>

namespace foxtail {
namespace {

using Step = void (*)(GatewayTables&, RangeId, RangeRow&, const Now&);

// The leader's authority is renewed well before this much is left of it. Less
// means that the store does not answer, so grants must outlast its outage.
constexpr std::chrono::milliseconds kOutageSign{850};

Duration LongestHold(const OwnershipSettings& settings, Duration hold) {
  return std::chrono::duration_cast<Duration>(hold *
                                              (1 + settings.m_clock_drift));
}

// Returns the hold to grant now. A server that does not answer is not granted
// its keys for longer than it may hold them anyway, or they could never be
// given to another.
Duration HoldFor(const GatewayTables& tables,
                 const ServerRow& server,
                 const RangeRow& row,
                 const Now& now) {
  const OwnershipSettings& settings = tables.m_settings;
  const Duration hold = tables.m_leader_lease.m_outage_ttl_active
                            ? settings.m_outage_hold
                            : settings.m_grant_ttl;
  if (server.m_consecutive_failures == 0 ||
      row.m_phase == RangePhase::kGranting) {
    return hold;
  }
  const Duration left =
      row.m_granted_until - now.m_steady - settings.m_order_timeout;
  return std::min(hold, std::chrono::duration_cast<Duration>(
                            left / (1 + settings.m_clock_drift)));
}

void SendGrant(GatewayTables& tables,
               RangeId id,
               RangeRow& row,
               const Now& now) {
  const OwnershipSettings& settings = tables.m_settings;
  const ServerRow* server = FindServer(tables, row.m_owner);
  const Duration hold =
      server ? HoldFor(tables, *server, row, now) : Duration();
  if (hold < settings.m_shortest_hold) {
    row.m_next_server_call_at = now.m_steady + settings.m_order_retry;
    return;
  }
  // The time counts from the arrival of the order, which is at the latest when
  // the call is given up.
  row.m_prior_granted_until = row.m_granted_until;
  row.m_granted_until =
      std::max(row.m_granted_until, now.m_steady + settings.m_order_timeout +
                                        LongestHold(settings, hold));
  row.m_call_in_flight = true;
  row.m_may_be_granted = true;
  if (row.m_fenced_server == row.m_owner) {
    row.m_fenced_server.clear();
  }
  tables.m_outbox.emplace_back(
      GrantCommand{id, row.m_owner, server->m_entry.m_address, row.m_range,
                   row.m_fence, hold, row.m_handover});
}

void StepWaiting(GatewayTables&, RangeId, RangeRow&, const Now&) {}

// A grant that was not answered may be carried out after the release and give
// the range back. A server that has seen a higher token refuses it, so the
// range is granted once more under such a token, for no time worth the name:
// the owner may hold it already.
void FencePrevious(GatewayTables& tables,
                   RangeId id,
                   RangeRow& row,
                   const BackendServerEntry& previous) {
  const uint64_t fence = ++tables.m_leader_lease.m_last_fence;
  row.m_fence = ++tables.m_leader_lease.m_last_fence;
  tables.m_outbox.emplace_back(
      GrantCommand{id, previous.m_id, previous.m_address, row.m_range, fence,
                   tables.m_settings.m_fencing_hold, ""});
}

void StepReleasing(GatewayTables& tables,
                   RangeId id,
                   RangeRow& row,
                   const Now& now) {
  if (row.m_previous_owners.empty() || now.m_steady >= row.m_granted_until) {
    row.m_previous_owners.clear();
    row.m_phase = RangePhase::kGranting;
    SendGrant(tables, id, row, now);
    return;
  }
  tables.WakeAt(row.m_granted_until);
  const ServerRow* previous = FindServer(tables, row.m_previous_owners.back());
  const OwnershipSettings& settings = tables.m_settings;
  // An order that may have an effect beyond the lapse would delay it.
  const Duration longest_effect =
      settings.m_order_timeout + LongestHold(settings, settings.m_fencing_hold);
  if (!previous || row.m_granted_until - now.m_steady < longest_effect) {
    row.m_next_server_call_at = row.m_granted_until;
    return;
  }
  row.m_call_in_flight = true;
  const BackendServerEntry& entry = previous->m_entry;
  if (now.m_steady < row.m_late_grant_until &&
      row.m_fenced_server != entry.m_id && row.m_owner != entry.m_id) {
    FencePrevious(tables, id, row, entry);
    return;
  }
  const Duration timeout =
      std::min(settings.m_release_timeout, row.m_granted_until - now.m_steady);
  // A release is never refused, whatever its token.
  tables.m_outbox.emplace_back(ReleaseCommand{
      id, entry.m_id, entry.m_address, row.m_range, row.m_fence, timeout});
}

struct PhaseStep {
  RangePhase m_phase;
  Step m_step;
};

constexpr std::array<PhaseStep, 5> kSteps = {{
    {RangePhase::kUnowned, &StepWaiting},
    {RangePhase::kRecording, &StepWaiting},
    {RangePhase::kReleasing, &StepReleasing},
    {RangePhase::kGranting, &SendGrant},
    {RangePhase::kStable, &SendGrant},
}};

Step StepOf(RangePhase phase) {
  return std::ranges::find(kSteps, phase, &PhaseStep::m_phase)->m_step;
}

bool HasOrder(RangePhase phase) {
  return phase == RangePhase::kReleasing || phase == RangePhase::kGranting ||
         phase == RangePhase::kStable;
}

// A server that started again under its id holds nothing, and takes keys only
// with a higher token than before.
void NoteRestart(GatewayTables& tables, RangeRow& row) {
  const ServerRow* server = FindServer(tables, row.m_owner);
  if (!server || server->m_entry.m_incarnation == row.m_owner_incarnation ||
      !HasOrder(row.m_phase)) {
    return;
  }
  row.m_owner_incarnation = server->m_entry.m_incarnation;
  row.m_fence = ++tables.m_leader_lease.m_last_fence;
  row.m_next_server_call_at = TimePoint();
}

void AskForOutageHolds(GatewayTables& tables, const Now& now) {
  LeaderLeaseState& lead = tables.m_leader_lease;
  const Duration left = lead.m_authority_until - now.m_boot;
  if (left > kOutageSign) {
    lead.m_outage_ttl_active = false;
    tables.WakeAt(now.m_steady + (left - kOutageSign));
    return;
  }
  if (lead.m_outage_ttl_active) {
    return;
  }
  lead.m_outage_ttl_active = true;
  tables.m_events.push_back({EventNumber::kOutageHolds, {}});
  tables.m_ranges.ForEach([](RangeId, RangeRow& row) {
    if (row.m_phase == RangePhase::kStable) {
      row.m_next_server_call_at = TimePoint();
    }
  });
}

// A leader that cannot reach most servers is of no use to them, whoever is cut
// off.
void ResignIfCutOff(GatewayTables& tables) {
  size_t owners = 0;
  size_t failing = 0;
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    owners += IsEligible(server) ? 1 : 0;
    failing += IsEligible(server) && server.m_consecutive_failures > 1 ? 1 : 0;
  });
  if (failing >= 3 && failing * 2 > owners &&
      !tables.m_leader_lease.m_resigning) {
    tables.m_leader_lease.m_resigning = true;
    tables.m_leader_lease.m_next_store_call_at = TimePoint();
  }
}

void NoteOrder(GatewayTables& tables,
               const std::string& server_id,
               ServerCallOutcome outcome,
               const Now& now) {
  ServerRow* server = FindServer(tables, server_id);
  if (!server) {
    return;
  }
  const bool failed = outcome == ServerCallOutcome::kUnknown ||
                      outcome == ServerCallOutcome::kGone;
  if (!failed) {
    server->m_consecutive_failures = 0;
    return;
  }
  if (server->m_consecutive_failures++ == 0) {
    server->m_failing_since = now.m_steady;
    tables.m_events.push_back(
        {EventNumber::kServerDown,
         {{"cell", server->m_entry.m_service}, {"server", server_id}}});
  }
}

void NoteSettled(GatewayTables& tables, RangeRow& row, const Now& now) {
  ServiceRow& service = tables.m_services.Get(row.m_service);
  if (!service.m_dirty) {
    service.m_next_store_call_at =
        std::max(service.m_next_store_call_at,
                 now.m_steady + tables.m_settings.m_settle_gather);
  }
  service.m_dirty = true;
  row.m_phase = RangePhase::kStable;
  row.m_handover.clear();
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.m_steady - row.m_move_started_at);
  tables.m_events.push_back({EventNumber::kPartitionMoveFinished,
                             {{"cell", service.m_name},
                              {"partition", NameOf(row.m_range)},
                              {"server", row.m_owner},
                              {"epoch", row.m_fence},
                              {"milliseconds", took.count()}}});
}

void OnPreviousFenced(RangeRow& row,
                      const GrantCommand& command,
                      ServerCallOutcome outcome,
                      const OwnershipSettings& settings,
                      const Now& now) {
  const bool fenced = outcome == ServerCallOutcome::kDone;
  row.m_next_server_call_at =
      now.m_steady + (fenced ? Duration() : settings.m_order_retry);
  if (fenced) {
    row.m_fenced_server = command.m_server;
  }
}

}  // namespace

void RangeGrantSystem::Run(GatewayTables& tables, const Now& now) {
  if (!tables.IsLeading(now)) {
    return;
  }
  AskForOutageHolds(tables, now);
  ResignIfCutOff(tables);
  tables.m_ranges.ForEach([&](RangeId id, RangeRow& row) {
    if (row.m_call_in_flight) {
      return;
    }
    NoteRestart(tables, row);
    if (now.m_steady >= row.m_next_server_call_at) {
      StepOf(row.m_phase)(tables, id, row, now);
    } else if (HasOrder(row.m_phase)) {
      tables.WakeAt(row.m_next_server_call_at);
    }
  });
}

void RangeGrantSystem::OnGranted(GatewayTables& tables,
                                 const GrantCommand& command,
                                 ServerCallOutcome outcome,
                                 const Now& now) {
  RangeRow* row = tables.m_ranges.Find(command.m_range);
  if (!row) {
    return;
  }
  const OwnershipSettings& settings = tables.m_settings;
  row->m_call_in_flight = false;
  NoteOrder(tables, command.m_server, outcome, now);
  if (outcome == ServerCallOutcome::kUnknown) {
    row->m_late_grant_until =
        std::max(row->m_late_grant_until, row->m_granted_until);
  }
  if (command.m_server != row->m_owner) {
    OnPreviousFenced(*row, command, outcome, settings, now);
    return;
  }
  if (outcome != ServerCallOutcome::kDone) {
    row->m_next_server_call_at = now.m_steady + settings.m_order_retry;
    tables.m_events.push_back({EventNumber::kOrderFailed,
                               {{"order", "grant"},
                                {"server", command.m_server},
                                {"partition", NameOf(command.m_keys)},
                                {"epoch", command.m_fence},
                                {"outcome", NameOf(outcome)}}});
  }
  if (outcome == ServerCallOutcome::kFenced &&
      row->m_fence == command.m_fence) {
    // An older order of a leader before, or of this one, came late.
    row->m_fence = ++tables.m_leader_lease.m_last_fence;
    row->m_next_server_call_at = now.m_steady;
  }
  if (outcome != ServerCallOutcome::kDone || row->m_fence != command.m_fence) {
    return;
  }
  row->m_granted_until =
      std::max(row->m_prior_granted_until,
               now.m_steady + LongestHold(settings, command.m_grant_ttl));
  row->m_next_server_call_at = now.m_steady + settings.m_renewal;
  if (row->m_phase == RangePhase::kGranting) {
    NoteSettled(tables, *row, now);
  }
}

void RangeGrantSystem::OnReleased(GatewayTables& tables,
                                  const ReleaseCommand& command,
                                  ServerCallOutcome outcome,
                                  const std::string& handover,
                                  const Now& now) {
  RangeRow* row = tables.m_ranges.Find(command.m_range);
  if (!row) {
    return;
  }
  row->m_call_in_flight = false;
  row->m_next_server_call_at = now.m_steady + tables.m_settings.m_order_retry;
  if (outcome == ServerCallOutcome::kDone) {
    row->m_handover = handover.empty() ? row->m_handover : handover;
    std::erase(row->m_previous_owners, command.m_server);
    row->m_next_server_call_at = TimePoint();
    return;
  }
  tables.m_events.push_back({EventNumber::kOrderFailed,
                             {{"order", "release"},
                              {"server", command.m_server},
                              {"partition", NameOf(command.m_keys)},
                              {"epoch", command.m_fence},
                              {"outcome", NameOf(outcome)}}});
}

}  // namespace foxtail
