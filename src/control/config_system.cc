#include "control/config_system.h"

#include <algorithm>

namespace foxtail {
namespace {

RowKey VersionKey() {
  return {"config", "current"};
}

// The plan that was confirmed holds the configuration.
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

void AlignServers(ControlTables& tables, CellId cell_id, CellRow& cell) {
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
      // The dispatchers of an earlier controller are not known yet.
      server.m_send_bound =
          cell.m_predecessor_end +
          WithDrift(tables.m_settings, tables.m_settings.m_dispatch_excess);
    }
    BackendServerRow& server = tables.m_servers.Get(id);
    server.m_config = config;
    server.m_removed = false;
    server.m_serving = IsServing(tables.m_config.m_configuration, config);
  }
}

void AlignCells(ControlTables& tables) {
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
      AlignServers(tables, id, cell);
    }
    cell.m_changed = true;
  });
}

void AlignWorkspaces(ControlTables& tables) {
  const auto& wanted = tables.m_config.m_configuration.m_workspaces;
  tables.m_workspaces.ForEach([&](auto id, WorkspaceRow& row) {
    if (std::ranges::find(wanted, row.m_config.m_name,
                          &WorkspaceConfig::m_name) == wanted.end()) {
      tables.m_workspaces.Erase(id);
    }
  });
  for (const WorkspaceConfig& workspace : wanted) {
    auto id = tables.m_workspaces.FindIf([&](const WorkspaceRow& row) {
      return row.m_config.m_name == workspace.m_name;
    });
    if (!id.IsValid()) {
      id = tables.m_workspaces.Insert({});
    }
    tables.m_workspaces.Get(id).m_config = workspace;
  }
}

void Adopt(ControlContext& context,
           uint64_t version,
           const Configuration& configuration) {
  ControlTables& tables = context.m_tables;
  if (version <= tables.m_config.m_version && tables.m_config.m_known) {
    return;
  }
  tables.m_config.m_version = version;
  tables.m_config.m_configuration = configuration;
  tables.m_config.m_known = true;
  AlignCells(tables);
  AlignWorkspaces(tables);
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

void OnVersion(ControlContext& context, const RowAnswer& answer) {
  ControlTables& tables = context.m_tables;
  tables.m_config.m_busy = false;
  if (answer.m_result.m_outcome == RowOutcome::kNoResponse) {
    return;
  }
  tables.m_config.m_fresh_at = answer.m_sent;
  const auto* record =
      std::get_if<CurrentConfigRecord>(&answer.m_result.m_value);
  if (!record) {
    Adopt(context, 0, Configuration());
    return;
  }
  if (record->m_version > tables.m_config.m_version ||
      !tables.m_config.m_known) {
    tables.m_config.m_busy = true;
    context.m_outbox.m_reads.push_back(
        {RowPurpose::kConfigDocument, {}, DocumentKey(*record)});
    tables.m_config.m_reading_version = record->m_version;
  }
}

void OnDocument(ControlContext& context, const RowAnswer& answer) {
  ControlTables& tables = context.m_tables;
  tables.m_config.m_busy = false;
  const auto* record = std::get_if<PlanRecord>(&answer.m_result.m_value);
  if (record) {
    Adopt(context, tables.m_config.m_reading_version, record->m_configuration);
  } else {
    tables.m_config.m_next_poll = context.m_now.m_steady;
  }
}

}  // namespace

void ConfigSystem::Run(ControlContext& context) {
  for (const RowAnswer& answer : context.m_inbox.m_rows) {
    if (answer.m_purpose == RowPurpose::kConfigVersion) {
      OnVersion(context, answer);
    } else if (answer.m_purpose == RowPurpose::kConfigDocument) {
      OnDocument(context, answer);
    }
  }
  ConfigState& config = context.m_tables.m_config;
  if (config.m_busy || context.m_now.m_steady < config.m_next_poll) {
    return;
  }
  config.m_busy = true;
  config.m_next_poll =
      context.m_now.m_steady + context.m_tables.m_settings.m_config_poll;
  context.m_outbox.m_reads.push_back(
      {RowPurpose::kConfigVersion, {}, VersionKey()});
}

}  // namespace foxtail
