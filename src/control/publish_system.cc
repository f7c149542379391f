#include "control/publish_system.h"

#include <algorithm>

#include "control/partition_moves.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Publishes the routes and leases of one cell in one tick.
class CellPublisher {
 public:
  CellPublisher(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_now(context.m_now.m_steady),
        m_cell_id(id),
        m_cell(cell) {}

  void Run() {
    if (!CanDecide(m_cell, m_now)) {
      RejectAll();
      return;
    }
    if (!m_cell.IsAccess() && m_cell.m_routes_dirty) {
      BuildRoutes();
    }
    m_cell.m_routes_dirty = false;
    std::erase_if(m_cell.m_pending_syncs, [&](const PendingSync& pending) {
      if (!IsDue(pending)) {
        return false;
      }
      Respond(pending);
      return true;
    });
  }

 private:
  void RejectAll() {
    for (const PendingSync& pending : m_cell.m_pending_syncs) {
      SyncResponse response;
      response.m_status = SyncStatus::kNotController;
      m_context.m_outbox.m_sync_responses.push_back(
          {pending.m_handle, std::move(response)});
    }
    m_cell.m_pending_syncs.clear();
  }

  void BuildRoutes() {
    auto routes = std::make_shared<CellRoutes>();
    routes->m_control_epoch = m_cell.m_lease.m_record.m_epoch;
    routes->m_version = ++m_cell.m_routes_version;
    routes->m_service = m_cell.m_routed_service;
    std::map<BackendServerId, uint32_t> indexes;
    for (const auto& [name, id] : m_cell.m_servers) {
      indexes[id] = static_cast<uint32_t>(routes->m_servers.size());
      routes->m_servers.push_back(BuildRouteServer(m_tables.m_servers.Get(id)));
    }
    for (const auto& [number, id] : m_cell.m_partitions) {
      const PartitionRow& partition = m_tables.m_partitions.Get(id);
      const auto index = indexes.find(partition.m_owner);
      if (index == indexes.end() || partition.m_retiring) {
        continue;
      }
      routes->m_partitions.push_back(
          {number, index->second, partition.m_epoch, IsPaused(partition)});
    }
    m_tables.m_crashes.ForEach([&](auto, const CrashRow& row) {
      if (row.m_cell != m_cell_id) {
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

  RouteServer BuildRouteServer(const BackendServerRow& server) const {
    RouteServer route;
    route.m_name = server.m_config.m_name;
    route.m_address = server.m_config.m_address;
    route.m_slots = server.m_config.m_slots;
    route.m_queue = server.m_config.m_queue;
    const DispatcherRow* dispatcher =
        m_tables.m_dispatchers.Find(server.m_dispatcher);
    if (dispatcher && !server.m_dispatcher_releasing) {
      route.m_dispatcher = dispatcher->m_identity.m_address;
    }
    return route;
  }

  bool IsDue(const PendingSync& pending) const {
    if (pending.m_superseded || m_now >= pending.m_respond_at) {
      return true;
    }
    if (pending.m_routes_epoch != m_cell.m_lease.m_record.m_epoch) {
      return true;
    }
    return m_cell.IsAccess()
               ? pending.m_access_version != m_tables.m_config.m_version
               : pending.m_routes_version != m_cell.m_routes_version;
  }

  void Respond(const PendingSync& pending) {
    SyncResponse response;
    response.m_control_epoch = m_cell.m_lease.m_record.m_epoch;
    response.m_config_version = m_tables.m_config.m_version;
    response.m_number = ++m_cell.m_last_response_number;
    response.m_authority_ttl = std::chrono::duration_cast<milliseconds>(
        m_cell.m_lease.m_authority_until - m_now);
    if (m_cell.IsAccess()) {
      AddAccessView(pending, response);
    } else {
      AddRoutesAndLeases(pending, response);
    }
    m_context.m_outbox.m_sync_responses.push_back(
        {pending.m_handle, std::move(response)});
  }

  void AddAccessView(const PendingSync& pending, SyncResponse& response) {
    const bool up_to_date =
        pending.m_routes_epoch == m_cell.m_lease.m_record.m_epoch &&
        pending.m_access_version == m_tables.m_config.m_version;
    if (!up_to_date) {
      response.m_access = m_tables.m_access;
    }
  }

  void AddRoutesAndLeases(const PendingSync& pending, SyncResponse& response) {
    const bool up_to_date =
        pending.m_routes_epoch == m_cell.m_lease.m_record.m_epoch &&
        pending.m_routes_version == m_cell.m_routes_version;
    if (!up_to_date) {
      response.m_routes = m_cell.m_routes;
    }
    const ControlSettings& settings = m_tables.m_settings;
    response.m_pending_for = std::chrono::duration_cast<milliseconds>(
        (m_now - pending.m_received_at) * (1.0 - settings.m_clock_drift));
    // A lease that ends soon after this controller's authority shortens a
    // successor's wait if both the controller and the dispatcher are lost.
    response.m_lease_ttl = std::min(
        settings.m_dispatch_lease_ttl,
        response.m_authority_ttl + settings.m_max_dispatch_lease_overrun);
    for (const auto& [name, id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(id);
      if (server.m_dispatcher != pending.m_dispatcher ||
          server.m_dispatcher_releasing) {
        continue;
      }
      response.m_leased_servers.push_back(name);
      if (!up_to_date) {
        AddDedupStates(id, response);
      }
      server.m_dispatch_lease_until = std::max(
          server.m_dispatch_lease_until,
          m_now + AddClockDrift(settings, settings.m_dispatch_lease_ttl));
    }
  }

  void AddDedupStates(BackendServerId server, SyncResponse& response) {
    m_tables.m_dedup_states.ForEach([&](auto, const DedupStateRow& row) {
      const auto found = m_cell.m_partitions.find(row.m_dedup_state.m_number);
      if (row.m_cell != m_cell_id || found == m_cell.m_partitions.end()) {
        return;
      }
      if (m_tables.m_partitions.Get(found->second).m_owner == server) {
        response.m_dedup_states.push_back(row.m_dedup_state);
      }
    });
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellId m_cell_id;
  CellRow& m_cell;
};

void EraseExpiredDedupStates(ControlTables& tables, TimePoint now) {
  tables.m_dedup_states.ForEach([&](auto id, const DedupStateRow& row) {
    if (now >= row.m_retained_until) {
      tables.m_dedup_states.Erase(id);
    }
  });
}

}  // namespace

void PublishSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  EraseExpiredDedupStates(tables, context.m_now.m_steady);
  tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    CellPublisher(context, id, cell).Run();
  });
}

}  // namespace foxtail
