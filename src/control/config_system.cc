#include "control/config_system.h"

#include <algorithm>

namespace foxtail {
namespace {

RowKey CurrentVersionKey() {
  return {"config", "current"};
}

// The row of the confirmed plan holds the configuration document.
RowKey DocumentKey(const CurrentConfigRecord& record) {
  return {"plan", record.m_plan};
}

CellId FindOrAddCell(ControlTables& tables, const std::string& name) {
  const CellId found = FindCell(tables, name);
  if (found.IsValid()) {
    return found;
  }
  CellRow cell;
  cell.m_name = name;
  return tables.m_cells.Insert(std::move(cell));
}

void ReconcileServers(ControlTables& tables, CellId cell_id, CellRow& cell) {
  for (auto& [name, id] : cell.m_servers) {
    BackendServerRow& server = tables.m_servers.Get(id);
    server.m_removed = true;
    server.m_serving = false;
  }
  for (const BackendServerConfig& config : cell.m_service.m_servers) {
    BackendServerId& id = cell.m_servers[config.m_name];
    if (!id.IsValid()) {
      id = tables.m_servers.Insert({});
      BackendServerRow& server = tables.m_servers.Get(id);
      server.m_cell = cell_id;
      // Dispatchers of an earlier controller are not known yet and may still
      // send to the server.
      server.m_may_send_until =
          cell.m_predecessor_active_until +
          AddClockDrift(tables.m_settings,
                        tables.m_settings.m_max_dispatch_lease_overrun);
    }
    BackendServerRow& server = tables.m_servers.Get(id);
    server.m_config = config;
    server.m_removed = false;
    server.m_serving = IsServing(tables.m_config.m_configuration, config);
  }
}

void ReconcileCells(ControlTables& tables) {
  const Configuration& configuration = tables.m_config.m_configuration;
  FindOrAddCell(tables, kAccessCell);
  for (const ServiceConfig& service : configuration.m_services) {
    FindOrAddCell(tables, service.m_name);
  }
  tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    if (cell.IsAccess()) {
      return;
    }
    const ServiceConfig* service = FindService(configuration, cell.m_name);
    cell.m_removed = service == nullptr;
    if (service) {
      cell.m_service = *service;
      ReconcileServers(tables, id, cell);
    }
    cell.m_routes_dirty = true;
  });
}

void ReconcileWorkspaces(ControlTables& tables) {
  const auto& configured = tables.m_config.m_configuration.m_workspaces;
  tables.m_workspaces.ForEach([&](auto id, WorkspaceRow& row) {
    if (std::ranges::find(configured, row.m_config.m_name,
                          &WorkspaceConfig::m_name) == configured.end()) {
      tables.m_workspaces.Erase(id);
    }
  });
  for (const WorkspaceConfig& workspace : configured) {
    auto id = tables.m_workspaces.FindIf([&](const WorkspaceRow& row) {
      return row.m_config.m_name == workspace.m_name;
    });
    if (!id.IsValid()) {
      id = tables.m_workspaces.Insert({});
    }
    tables.m_workspaces.Get(id).m_config = workspace;
  }
}

void ApplyConfiguration(ControlContext& context,
                        uint64_t version,
                        const Configuration& configuration) {
  ControlTables& tables = context.m_tables;
  if (version <= tables.m_config.m_version && tables.m_config.m_loaded) {
    return;
  }
  tables.m_config.m_version = version;
  tables.m_config.m_configuration = configuration;
  tables.m_config.m_loaded = true;
  ReconcileCells(tables);
  ReconcileWorkspaces(tables);
  auto view = std::make_shared<AccessView>();
  view->m_version = version;
  view->m_workspaces = configuration.m_workspaces;
  for (const ServiceConfig& service : configuration.m_services) {
    view->m_services.push_back(service.m_name);
  }
  tables.m_access = std::move(view);
  context.m_outbox.m_events.push_back(
      {EventNumber::kConfigurationInForce, {{"version", version}}});
}

void OnVersionRead(ControlContext& context, const RowResponse& response) {
  ControlTables& tables = context.m_tables;
  tables.m_config.m_store_call_in_flight = false;
  if (response.m_result.m_outcome == RowOutcome::kNoResponse) {
    return;
  }
  tables.m_config.m_last_poll_sent_at = response.m_sent_at;
  const auto* record =
      std::get_if<CurrentConfigRecord>(&response.m_result.m_value);
  if (!record) {
    ApplyConfiguration(context, 0, Configuration());
    return;
  }
  if (record->m_version > tables.m_config.m_version ||
      !tables.m_config.m_loaded) {
    tables.m_config.m_store_call_in_flight = true;
    context.m_outbox.m_reads.push_back(
        {RowPurpose::kConfigDocument, {}, DocumentKey(*record)});
    tables.m_config.m_reading_version = record->m_version;
  }
}

void OnDocumentRead(ControlContext& context, const RowResponse& response) {
  ControlTables& tables = context.m_tables;
  tables.m_config.m_store_call_in_flight = false;
  const auto* record = std::get_if<PlanRecord>(&response.m_result.m_value);
  if (record) {
    ApplyConfiguration(context, tables.m_config.m_reading_version,
                       record->m_configuration);
  } else {
    tables.m_config.m_next_poll_at = context.m_now.m_steady;
  }
}

}  // namespace

void ConfigSystem::Run(ControlContext& context) {
  for (const RowResponse& response : context.m_inbox.m_row_responses) {
    if (response.m_purpose == RowPurpose::kConfigVersion) {
      OnVersionRead(context, response);
    } else if (response.m_purpose == RowPurpose::kConfigDocument) {
      OnDocumentRead(context, response);
    }
  }
  ConfigState& config = context.m_tables.m_config;
  if (config.m_store_call_in_flight ||
      context.m_now.m_steady < config.m_next_poll_at) {
    return;
  }
  config.m_store_call_in_flight = true;
  config.m_next_poll_at =
      context.m_now.m_steady + context.m_tables.m_settings.m_config_poll_period;
  context.m_outbox.m_reads.push_back(
      {RowPurpose::kConfigVersion, {}, CurrentVersionKey()});
}

}  // namespace foxtail
