#include "gateway/grant_order_system.h"

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
  const Duration hold = tables.m_lead.m_outage_holds
                            ? settings.m_outage_grant_ttl
                            : settings.m_grant_ttl;
  if (server.m_failed_orders == 0 || row.m_phase == RangePhase::kGranting) {
    return hold;
  }
  const Duration left =
      row.m_held_until - now.m_steady - settings.m_server_call_timeout;
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
  if (hold < settings.m_min_grant_ttl) {
    row.m_next_order = now.m_steady + settings.m_server_call_retry_delay;
    return;
  }
  // The time counts from the arrival of the order, which is at the latest when
  // the call is given up.
  row.m_held_before = row.m_held_until;
  row.m_held_until =
      std::max(row.m_held_until, now.m_steady + settings.m_server_call_timeout +
                                     LongestHold(settings, hold));
  row.m_busy = true;
  row.m_may_hold = true;
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
  const uint64_t fence = ++tables.m_lead.m_last_fence;
  row.m_fence = ++tables.m_lead.m_last_fence;
  tables.m_outbox.emplace_back(
      GrantCommand{id, previous.m_id, previous.m_address, row.m_range, fence,
                   tables.m_settings.m_fencing_grant_ttl, ""});
}

void StepReleasing(GatewayTables& tables,
                   RangeId id,
                   RangeRow& row,
                   const Now& now) {
  if (row.m_previous.empty() || now.m_steady >= row.m_held_until) {
    row.m_previous.clear();
    row.m_phase = RangePhase::kGranting;
    SendGrant(tables, id, row, now);
    return;
  }
  tables.WakeAt(row.m_held_until);
  const ServerRow* previous = FindServer(tables, row.m_previous.back());
  const OwnershipSettings& settings = tables.m_settings;
  // An order that may have an effect beyond the lapse would delay it.
  const Duration longest_effect =
      settings.m_server_call_timeout +
      LongestHold(settings, settings.m_fencing_grant_ttl);
  if (!previous || row.m_held_until - now.m_steady < longest_effect) {
    row.m_next_order = row.m_held_until;
    return;
  }
  row.m_busy = true;
  const BackendServerEntry& entry = previous->m_entry;
  if (now.m_steady < row.m_unanswered_until &&
      row.m_fenced_server != entry.m_id && row.m_owner != entry.m_id) {
    FencePrevious(tables, id, row, entry);
    return;
  }
  const Duration timeout = std::min(settings.m_release_call_timeout,
                                    row.m_held_until - now.m_steady);
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
    {RangePhase::kSettled, &SendGrant},
}};

Step StepOf(RangePhase phase) {
  return std::ranges::find(kSteps, phase, &PhaseStep::m_phase)->m_step;
}

bool HasOrder(RangePhase phase) {
  return phase == RangePhase::kReleasing || phase == RangePhase::kGranting ||
         phase == RangePhase::kSettled;
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
  row.m_fence = ++tables.m_lead.m_last_fence;
  row.m_next_order = TimePoint();
}

void AskForOutageHolds(GatewayTables& tables, const Now& now) {
  LeadState& lead = tables.m_lead;
  const Duration left = lead.m_authority_until - now.m_boot;
  if (left > kOutageSign) {
    lead.m_outage_holds = false;
    tables.WakeAt(now.m_steady + (left - kOutageSign));
    return;
  }
  if (lead.m_outage_holds) {
    return;
  }
  lead.m_outage_holds = true;
  tables.m_events.push_back({EventNumber::kOutageHolds, {}});
  tables.m_ranges.ForEach([](RangeId, RangeRow& row) {
    if (row.m_phase == RangePhase::kSettled) {
      row.m_next_order = TimePoint();
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
    failing += IsEligible(server) && server.m_failed_orders > 1 ? 1 : 0;
  });
  if (failing >= 3 && failing * 2 > owners && !tables.m_lead.m_resigning) {
    tables.m_lead.m_resigning = true;
    tables.m_lead.m_next_operation = TimePoint();
  }
}

void NoteOrder(GatewayTables& tables,
               const std::string& server_id,
               OrderOutcome outcome,
               const Now& now) {
  ServerRow* server = FindServer(tables, server_id);
  if (!server) {
    return;
  }
  const bool failed =
      outcome == OrderOutcome::kUnknown || outcome == OrderOutcome::kGone;
  if (!failed) {
    server->m_failed_orders = 0;
    return;
  }
  if (server->m_failed_orders++ == 0) {
    server->m_failing_since = now.m_steady;
    tables.m_events.push_back(
        {EventNumber::kServerDown,
         {{"cell", server->m_entry.m_service}, {"server", server_id}}});
  }
}

void NoteSettled(GatewayTables& tables, RangeRow& row, const Now& now) {
  ServiceRow& service = tables.m_services.Get(row.m_service);
  if (!service.m_dirty) {
    service.m_next_operation =
        std::max(service.m_next_operation,
                 now.m_steady + tables.m_settings.m_confirmation_batch_delay);
  }
  service.m_dirty = true;
  row.m_phase = RangePhase::kSettled;
  row.m_handover.clear();
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.m_steady - row.m_move_started);
  tables.m_events.push_back({EventNumber::kPartitionMoveFinished,
                             {{"cell", service.m_name},
                              {"partition", NameOf(row.m_range)},
                              {"server", row.m_owner},
                              {"epoch", row.m_fence},
                              {"milliseconds", took.count()}}});
}

void OnPreviousFenced(RangeRow& row,
                      const GrantCommand& command,
                      OrderOutcome outcome,
                      const OwnershipSettings& settings,
                      const Now& now) {
  const bool fenced = outcome == OrderOutcome::kDone;
  row.m_next_order =
      now.m_steady + (fenced ? Duration() : settings.m_server_call_retry_delay);
  if (fenced) {
    row.m_fenced_server = command.m_server;
  }
}

}  // namespace

void GrantOrderSystem::Run(GatewayTables& tables, const Now& now) {
  if (!tables.IsLeading(now)) {
    return;
  }
  AskForOutageHolds(tables, now);
  ResignIfCutOff(tables);
  tables.m_ranges.ForEach([&](RangeId id, RangeRow& row) {
    if (row.m_busy) {
      return;
    }
    NoteRestart(tables, row);
    if (now.m_steady >= row.m_next_order) {
      StepOf(row.m_phase)(tables, id, row, now);
    } else if (HasOrder(row.m_phase)) {
      tables.WakeAt(row.m_next_order);
    }
  });
}

void GrantOrderSystem::OnGranted(GatewayTables& tables,
                                 const GrantCommand& command,
                                 OrderOutcome outcome,
                                 const Now& now) {
  RangeRow* row = tables.m_ranges.Find(command.m_range);
  if (!row) {
    return;
  }
  const OwnershipSettings& settings = tables.m_settings;
  row->m_busy = false;
  NoteOrder(tables, command.m_server, outcome, now);
  if (outcome == OrderOutcome::kUnknown) {
    row->m_unanswered_until =
        std::max(row->m_unanswered_until, row->m_held_until);
  }
  if (command.m_server != row->m_owner) {
    OnPreviousFenced(*row, command, outcome, settings, now);
    return;
  }
  if (outcome != OrderOutcome::kDone) {
    row->m_next_order = now.m_steady + settings.m_server_call_retry_delay;
    tables.m_events.push_back({EventNumber::kOrderFailed,
                               {{"order", "grant"},
                                {"server", command.m_server},
                                {"partition", NameOf(command.m_keys)},
                                {"epoch", command.m_fence},
                                {"outcome", NameOf(outcome)}}});
  }
  if (outcome == OrderOutcome::kFenced && row->m_fence == command.m_fence) {
    // An older order of a leader before, or of this one, came late.
    row->m_fence = ++tables.m_lead.m_last_fence;
    row->m_next_order = now.m_steady;
  }
  if (outcome != OrderOutcome::kDone || row->m_fence != command.m_fence) {
    return;
  }
  row->m_held_until =
      std::max(row->m_held_before,
               now.m_steady + LongestHold(settings, command.m_grant_ttl));
  row->m_next_order = now.m_steady + settings.m_grant_renew_period;
  if (row->m_phase == RangePhase::kGranting) {
    NoteSettled(tables, *row, now);
  }
}

void GrantOrderSystem::OnReleased(GatewayTables& tables,
                                  const ReleaseCommand& command,
                                  OrderOutcome outcome,
                                  const std::string& handover,
                                  const Now& now) {
  RangeRow* row = tables.m_ranges.Find(command.m_range);
  if (!row) {
    return;
  }
  row->m_busy = false;
  row->m_next_order =
      now.m_steady + tables.m_settings.m_server_call_retry_delay;
  if (outcome == OrderOutcome::kDone) {
    row->m_handover = handover.empty() ? row->m_handover : handover;
    std::erase(row->m_previous, command.m_server);
    row->m_next_order = TimePoint();
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
