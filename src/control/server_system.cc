#include "control/server_system.h"

namespace foxtail {
namespace {

void Note(ControlContext& context,
          EventNumber number,
          const CellRow& cell,
          const BackendServerRow& server) {
  context.m_outbox.m_events.push_back(
      {number, {{"cell", cell.m_name}, {"server", server.m_config.m_name}}});
}

void TakeIn(ControlContext& context, const ProbeAnswer& answer) {
  BackendServerRow* server = context.m_tables.m_servers.Find(answer.m_server);
  if (!server) {
    return;
  }
  const CellRow& cell = context.m_tables.m_cells.Get(server->m_cell);
  server->m_probe_busy = false;
  server->m_probed = true;
  if (!answer.m_answered) {
    ++server->m_probe_failures;
    if (server->m_up && server->m_probe_failures >=
                            context.m_tables.m_settings.m_probe_failures) {
      server->m_up = false;
      Note(context, EventNumber::kServerDown, cell, *server);
    }
    return;
  }
  server->m_probe_failures = 0;
  if (!server->m_up) {
    server->m_up = true;
    Note(context, EventNumber::kServerUp, cell, *server);
  }
  if (server->m_incarnation != answer.m_incarnation) {
    // A restarted server has no grants.
    server->m_incarnation = answer.m_incarnation;
    server->m_grant_due = true;
  }
}

}  // namespace

void ServerSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  for (const ProbeAnswer& answer : context.m_inbox.m_probes) {
    TakeIn(context, answer);
  }
  tables.m_servers.ForEach([&](BackendServerId id, BackendServerRow& server) {
    const CellRow& cell = tables.m_cells.Get(server.m_cell);
    if (server.m_probe_busy || now < server.m_next_probe ||
        server.m_config.m_address.empty() || !HoldsAuthority(cell, now)) {
      return;
    }
    server.m_probe_busy = true;
    server.m_next_probe = now + tables.m_settings.m_probe_period;
    context.m_outbox.m_probes.push_back({id, server.m_config.m_address});
  });
}

}  // namespace foxtail
