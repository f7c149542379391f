#include "control/server_system.h"

namespace foxtail {
namespace {

void LogServerEvent(ControlContext& context,
                    EventNumber number,
                    const CellRow& cell,
                    const BackendServerRow& server) {
  context.m_outbox.m_events.push_back(
      {number, {{"cell", cell.m_name}, {"server", server.m_config.m_name}}});
}

void ApplyResponse(ControlContext& context, const ProbeResponse& response) {
  BackendServerRow* server = context.m_tables.m_servers.Find(response.m_server);
  if (!server) {
    return;
  }
  const CellRow& cell = context.m_tables.m_cells.Get(server->m_cell);
  server->m_probe_in_flight = false;
  server->m_probed = true;
  if (!response.m_responded) {
    ++server->m_probe_failures;
    if (server->m_up && server->m_probe_failures >=
                            context.m_tables.m_settings.m_max_probe_failures) {
      server->m_up = false;
      LogServerEvent(context, EventNumber::kServerDown, cell, *server);
    }
    return;
  }
  server->m_probe_failures = 0;
  if (!server->m_up) {
    server->m_up = true;
    LogServerEvent(context, EventNumber::kServerUp, cell, *server);
  }
  if (server->m_incarnation != response.m_incarnation) {
    // A restarted server has lost its grants.
    server->m_incarnation = response.m_incarnation;
    server->m_grant_due = true;
  }
}

}  // namespace

void ServerSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  for (const ProbeResponse& response : context.m_inbox.m_probe_responses) {
    ApplyResponse(context, response);
  }
  tables.m_servers.ForEach([&](BackendServerId id, BackendServerRow& server) {
    const CellRow& cell = tables.m_cells.Get(server.m_cell);
    if (server.m_probe_in_flight || now < server.m_next_probe_at ||
        server.m_config.m_address.empty() || !HoldsAuthority(cell, now)) {
      return;
    }
    server.m_probe_in_flight = true;
    server.m_next_probe_at = now + tables.m_settings.m_probe_period;
    context.m_outbox.m_probes.push_back({id, server.m_config.m_address});
  });
}

}  // namespace foxtail
