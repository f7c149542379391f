#include "control/token_system.h"

namespace foxtail {

void TokenSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  const CellId access = FindCell(tables, kAccessCell);
  const CellRow* cell = tables.m_cells.Find(access);
  const bool holds =
      cell && CanDecide(*cell, now) && ConfigIsFresh(tables, *cell);
  if (holds && m_epoch != cell->m_lease.m_record.m_epoch) {
    m_epoch = cell->m_lease.m_record.m_epoch;
    m_holder.emplace(
        WithDrift(tables.m_settings, tables.m_settings.m_token_lifetime));
    m_holder->Begin(now);
  }
  for (const TokensAsked& asked : context.m_inbox.m_tokens) {
    TokenResponse response;
    response.m_token_ttl = tables.m_settings.m_token_lifetime;
    response.m_status = holds ? SyncStatus::kOk : SyncStatus::kNotController;
    if (!holds && cell) {
      response.m_controller = cell->m_lease.m_record.m_holder.m_address;
    }
    for (const TokenDemand& demand : asked.m_request.m_demands) {
      const auto id = tables.m_workspaces.FindIf([&](const WorkspaceRow& row) {
        return row.m_config.m_name == demand.m_workspace;
      });
      if (holds && id.IsValid()) {
        const WorkspaceConfig& config = tables.m_workspaces.Get(id).m_config;
        response.m_grants.push_back(
            m_holder->Serve({config.m_name, config.m_rate, config.m_burst},
                            asked.m_request.m_dispatcher, demand, now));
      }
    }
    context.m_outbox.m_tokens.push_back({asked.m_handle, std::move(response)});
  }
}

}  // namespace foxtail
