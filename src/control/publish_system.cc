#include "control/publish_system.h"

#include <algorithm>

#include "control/partition_moves.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Publishing for one cell in one tick.
class CellPublisher {
 public:
  CellPublisher(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_now(context.m_now.m_steady),
        m_id(id),
        m_cell(cell) {}

  void Run() {
    if (!CanDecide(m_cell, m_now)) {
      RefuseAll();
      return;
    }
    if (!m_cell.IsAccess() && m_cell.m_changed) {
      BuildRoutes();
    }
    m_cell.m_changed = false;
    std::erase_if(m_cell.m_parked, [&](const ParkedSync& parked) {
      if (!IsDue(parked)) {
        return false;
      }
      Answer(parked);
      return true;
    });
  }

 private:
  void RefuseAll() {
    for (const ParkedSync& parked : m_cell.m_parked) {
      SyncResponse response;
      response.m_status = SyncStatus::kNotController;
      m_context.m_outbox.m_syncs.push_back(
          {parked.m_handle, std::move(response)});
    }
    m_cell.m_parked.clear();
  }

  void BuildRoutes() {
    auto routes = std::make_shared<CellRoutes>();
    routes->m_control_epoch = m_cell.m_lease.m_record.m_epoch;
    routes->m_version = ++m_cell.m_routes_version;
    routes->m_service = m_cell.m_routed_service;
    std::map<BackendServerId, uint32_t> indexes;
    for (const auto& [name, id] : m_cell.m_servers) {
      indexes[id] = static_cast<uint32_t>(routes->m_servers.size());
      routes->m_servers.push_back(RouteTo(m_tables.m_servers.Get(id)));
    }
    for (const auto& [number, id] : m_cell.m_partitions) {
      const PartitionRow& partition = m_tables.m_partitions.Get(id);
      const auto index = indexes.find(partition.m_owner);
      if (index == indexes.end() || partition.m_retiring) {
        continue;
      }
      routes->m_partitions.push_back(
          {number, index->second, partition.m_epoch, IsHeld(partition)});
    }
    m_tables.m_crashes.ForEach([&](auto, const CrashRow& row) {
      if (row.m_cell != m_id) {
        return;
      }
      if (row.m_quarantined) {
        routes->m_quarantined.push_back(row.m_suspect.m_fingerprint);
      } else {
        routes->m_suspects.push_back(row.m_suspect);
      }
    });
    m_cell.m_routes = std::move(routes);
  }

  RouteServer RouteTo(const BackendServerRow& server) const {
    RouteServer route;
    route.m_name = server.m_config.m_name;
    route.m_address = server.m_config.m_address;
    route.m_slots = server.m_config.m_slots;
    route.m_queue = server.m_config.m_queue;
    const DispatcherRow* dispatcher =
        m_tables.m_dispatchers.Find(server.m_dispatcher);
    if (dispatcher && !server.m_dispatcher_leaving) {
      route.m_dispatcher = dispatcher->m_name.m_address;
    }
    return route;
  }

  bool IsDue(const ParkedSync& parked) const {
    if (parked.m_answer_now || m_now >= parked.m_answer_by) {
      return true;
    }
    if (parked.m_routes_epoch != m_cell.m_lease.m_record.m_epoch) {
      return true;
    }
    return m_cell.IsAccess()
               ? parked.m_access_version != m_tables.m_config.m_version
               : parked.m_routes_version != m_cell.m_routes_version;
  }

  void Answer(const ParkedSync& parked) {
    SyncResponse response;
    response.m_control_epoch = m_cell.m_lease.m_record.m_epoch;
    response.m_config_version = m_tables.m_config.m_version;
    response.m_number = ++m_cell.m_response_number;
    response.m_authority_ttl = std::chrono::duration_cast<milliseconds>(
        m_cell.m_lease.m_authority_until - m_now);
    if (m_cell.IsAccess()) {
      AnswerAccess(parked, response);
    } else {
      AnswerService(parked, response);
    }
    m_context.m_outbox.m_syncs.push_back(
        {parked.m_handle, std::move(response)});
  }

  void AnswerAccess(const ParkedSync& parked, SyncResponse& response) {
    const bool known =
        parked.m_routes_epoch == m_cell.m_lease.m_record.m_epoch &&
        parked.m_access_version == m_tables.m_config.m_version;
    if (!known) {
      response.m_access = m_tables.m_access;
    }
  }

  void AnswerService(const ParkedSync& parked, SyncResponse& response) {
    const bool known =
        parked.m_routes_epoch == m_cell.m_lease.m_record.m_epoch &&
        parked.m_routes_version == m_cell.m_routes_version;
    if (!known) {
      response.m_routes = m_cell.m_routes;
    }
    const ControlSettings& settings = m_tables.m_settings;
    response.m_pending_for = std::chrono::duration_cast<milliseconds>(
        (m_now - parked.m_received) * (1.0 - settings.m_clock_drift));
    // A lease that ends soon after this controller's authority lets a successor
    // go on soon after a loss of both.
    response.m_lease_ttl =
        std::min(settings.m_dispatch_lease,
                 response.m_authority_ttl + settings.m_dispatch_excess);
    for (const auto& [name, id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(id);
      if (server.m_dispatcher != parked.m_dispatcher ||
          server.m_dispatcher_leaving) {
        continue;
      }
      response.m_leased_servers.push_back(name);
      if (!known) {
        AddMemories(id, response);
      }
      server.m_lease_bound =
          std::max(server.m_lease_bound,
                   m_now + WithDrift(settings, settings.m_dispatch_lease));
    }
  }

  void AddMemories(BackendServerId server, SyncResponse& response) {
    m_tables.m_dedup_states.ForEach([&](auto, const MemoryRow& row) {
      const auto found = m_cell.m_partitions.find(row.m_memory.m_number);
      if (row.m_cell != m_id || found == m_cell.m_partitions.end()) {
        return;
      }
      if (m_tables.m_partitions.Get(found->second).m_owner == server) {
        response.m_dedup_states.push_back(row.m_memory);
      }
    });
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellId m_id;
  CellRow& m_cell;
};

void DropOldMemories(ControlTables& tables, TimePoint now) {
  tables.m_dedup_states.ForEach([&](auto id, const MemoryRow& row) {
    if (now >= row.m_until) {
      tables.m_dedup_states.Erase(id);
    }
  });
}

}  // namespace

void PublishSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  DropOldMemories(tables, context.m_now.m_steady);
  tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    CellPublisher(context, id, cell).Run();
  });
}

}  // namespace foxtail
