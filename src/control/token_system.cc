#include "control/token_system.h"

namespace foxtail {

void TokenSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  const CellId access = FindCell(tables, kAccessCell);
  const CellRow* cell = tables.m_cells.Find(access);
  const bool is_controller =
      cell && CanDecide(*cell, now) && ConfigIsFresh(tables, *cell);
  if (is_controller && m_epoch != cell->m_lease.m_record.m_epoch) {
    m_epoch = cell->m_lease.m_record.m_epoch;
    m_issuer.emplace(
        AddClockDrift(tables.m_settings, tables.m_settings.m_token_ttl));
    m_issuer->Begin(now);
  }
  for (const ReceivedTokenRequest& received :
       context.m_inbox.m_token_requests) {
    TokenResponse response;
    response.m_token_ttl = tables.m_settings.m_token_ttl;
    response.m_status =
        is_controller ? SyncStatus::kOk : SyncStatus::kNotController;
    if (!is_controller && cell) {
      response.m_controller = cell->m_lease.m_record.m_holder.m_address;
    }
    for (const TokenDemand& demand : received.m_request.m_demands) {
      const auto id = tables.m_workspaces.FindIf([&](const WorkspaceRow& row) {
        return row.m_config.m_name == demand.m_workspace;
      });
      if (is_controller && id.IsValid()) {
        const WorkspaceConfig& config = tables.m_workspaces.Get(id).m_config;
        response.m_grants.push_back(
            m_issuer->Serve({config.m_name,
                             config.m_rate,
                             config.m_burst,
                             now - m_issuer->GetBeganAt(),
                             {}},
                            received.m_request.m_dispatcher, demand, {}, now));
      }
    }
    context.m_outbox.m_token_responses.push_back(
        {received.m_handle, std::move(response)});
  }
}

}  // namespace foxtail
