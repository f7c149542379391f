#include "control/dispatcher_system.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// After a takeover, a cell waits this long for reports before it appoints
// dispatchers. Otherwise the first dispatcher to report would receive every
// server.
constexpr milliseconds kReportGracePeriod{100};
constexpr milliseconds kDispatcherRetention{5000};

// Time constant of the exponential average of partition loads.
constexpr milliseconds kLoadAveragingTime{2000};

DispatcherId FindOrAddDispatcher(ControlTables& tables,
                                 CellId cell_id,
                                 const SyncRequest& request,
                                 bool& was_known) {
  const DispatcherId found =
      tables.m_dispatchers.FindIf([&](const DispatcherRow& row) {
        return row.m_cell == cell_id && row.m_identity == request.m_dispatcher;
      });
  if (found.IsValid()) {
    return found;
  }
  was_known = false;
  DispatcherRow row;
  row.m_cell = cell_id;
  row.m_identity = request.m_dispatcher;
  return tables.m_dispatchers.Insert(std::move(row));
}

std::string ControllerHint(const CellRow& cell, const ControlTables& tables) {
  const LeaseRecord& record = cell.m_lease.m_record;
  return record.m_released || record.m_holder == tables.m_self
             ? ""
             : record.m_holder.m_address;
}

// Handles the dispatchers of one cell in one tick.
class CellDispatchers {
 public:
  CellDispatchers(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_now(context.m_now.m_steady),
        m_cell_id(id),
        m_cell(cell) {}

  void ApplyReport(const ReceivedSyncRequest& received) {
    const SyncRequest& request = received.m_request;
    bool was_known = true;
    const DispatcherId id =
        FindOrAddDispatcher(m_tables, m_cell_id, request, was_known);
    DispatcherRow& row = m_tables.m_dispatchers.Get(id);
    row.m_data_centre = request.m_data_centre;
    row.m_last_sync_at = std::max(row.m_last_sync_at, received.m_received_at);
    row.m_shutting_down = row.m_shutting_down || request.m_shutting_down;
    if (!was_known) {
      row.m_last_acknowledged_at = m_now;
    }
    if (request.m_control_epoch == m_cell.m_lease.m_record.m_epoch) {
      RecordAcknowledgement(row, request);
    }
    row.m_config_version = request.m_config_version;
    AdoptLeasedServers(id, request);
    RecordLoads(row, received);
    RecordServers(request);
    // A dispatcher without a row may have lost its lease since its previous
    // report. Another dispatcher may then have accepted request ids that the
    // reported deduplication states lack.
    if (was_known) {
      StoreDedupStates(request);
    }
    QueueSync(id, received);
  }

  void Advance() {
    CountServersPerDispatcher();
    ExpireLeases();
    FinishReleases();
    CountServersPerDispatcher();
    if (m_now < m_cell.m_taken_over_at + kReportGracePeriod) {
      return;
    }
    ReplaceUnavailable();
    AppointDispatchers();
    BalanceServers();
  }

 private:
  // Two reports of one dispatcher may arrive out of order; an older report is
  // ignored.
  void RecordAcknowledgement(DispatcherRow& row, const SyncRequest& request) {
    const bool same_epoch = row.m_control_epoch == request.m_control_epoch;
    if (same_epoch && request.m_applied_number < row.m_applied_number) {
      return;
    }
    if (!same_epoch || request.m_applied_number > row.m_applied_number) {
      row.m_last_acknowledged_at = m_now;
    }
    row.m_control_epoch = request.m_control_epoch;
    row.m_routes_version = request.m_routes_version;
    row.m_applied_number = request.m_applied_number;
    row.m_draining_partitions.clear();
    for (const DrainingPartition& draining : request.m_draining_partitions) {
      row.m_draining_partitions.insert(draining.m_number);
    }
    row.m_draining_servers = {request.m_draining_servers.begin(),
                              request.m_draining_servers.end()};
  }

  // After a takeover, dispatchers report the servers that they lease and keep
  // them.
  void AdoptLeasedServers(DispatcherId id, const SyncRequest& request) {
    for (const std::string& name : request.m_leased_servers) {
      const auto found = m_cell.m_servers.find(name);
      if (found == m_cell.m_servers.end()) {
        continue;
      }
      BackendServerRow& server = m_tables.m_servers.Get(found->second);
      if (!server.m_dispatcher.IsValid() && m_now < server.m_may_send_until) {
        server.m_dispatcher = id;
        server.m_dispatcher_releasing = false;
        server.m_dispatch_lease_until = server.m_may_send_until;
        m_cell.m_routes_dirty = true;
      }
    }
  }

  // Reports list only the partitions with the highest load; all others count as
  // idle.
  void RecordLoads(DispatcherRow& row, const ReceivedSyncRequest& received) {
    const Duration elapsed = received.m_received_at - row.m_last_load_at;
    const bool is_first = row.m_last_load_at == TimePoint();
    row.m_last_load_at = received.m_received_at;
    if (is_first || elapsed <= Duration::zero()) {
      return;
    }
    std::map<PartitionNumber, double> rates;
    for (const PartitionLoad& load : received.m_request.m_loads) {
      rates[load.m_number] = load.m_requests / ToSeconds(elapsed);
    }
    const double weight =
        1 - std::exp(-ToSeconds(elapsed) / ToSeconds(kLoadAveragingTime));
    for (const std::string& name : received.m_request.m_leased_servers) {
      const auto server = m_cell.m_servers.find(name);
      for (const auto& [number, id] : m_cell.m_partitions) {
        PartitionRow& partition = m_tables.m_partitions.Get(id);
        if (server != m_cell.m_servers.end() &&
            partition.m_owner == server->second) {
          partition.m_load += weight * (rates[number] - partition.m_load);
        }
      }
    }
  }

  void RecordServers(const SyncRequest& request) {
    for (const ServerObservation& observation : request.m_observations) {
      const auto found = m_cell.m_servers.find(observation.m_server);
      if (found == m_cell.m_servers.end()) {
        continue;
      }
      BackendServerRow& server = m_tables.m_servers.Get(found->second);
      server.m_in_flight = observation.m_in_flight;
      server.m_queued = observation.m_queued;
      if (observation.m_connection_failures > 0) {
        server.m_next_probe_at = m_now;
      }
    }
  }

  void StoreDedupStates(const SyncRequest& request) {
    for (const PartitionDedupState& dedup_state : request.m_dedup_states) {
      EraseDedupState(dedup_state.m_number);
      m_tables.m_dedup_states.Insert(
          {m_cell_id, dedup_state, m_now + m_tables.m_settings.m_retention});
    }
  }

  void EraseDedupState(PartitionNumber number) {
    m_tables.m_dedup_states.ForEach([&](auto id, const DedupStateRow& row) {
      if (row.m_cell == m_cell_id && row.m_dedup_state.m_number == number) {
        m_tables.m_dedup_states.Erase(id);
      }
    });
  }

  void QueueSync(DispatcherId id, const ReceivedSyncRequest& received) {
    // A newer request of the same dispatcher completes the older ones.
    for (PendingSync& pending : m_cell.m_pending_syncs) {
      if (pending.m_dispatcher == id) {
        pending.m_superseded = true;
      }
    }
    PendingSync pending;
    pending.m_handle = received.m_handle;
    pending.m_dispatcher = id;
    pending.m_received_at = received.m_received_at;
    pending.m_respond_at =
        received.m_received_at + m_tables.m_settings.m_sync_poll_timeout;
    pending.m_routes_epoch = received.m_request.m_control_epoch;
    pending.m_routes_version = received.m_request.m_routes_version;
    pending.m_access_version = received.m_request.m_config_version;
    m_cell.m_pending_syncs.push_back(pending);
  }

  void ExpireLeases() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      if (server.m_dispatcher.IsValid() &&
          m_now > server.m_dispatch_lease_until &&
          server.m_dispatch_lease_until != TimePoint()) {
        ExpireLease(name, server_id, server);
      }
    }
    m_tables.m_dispatchers.ForEach(
        [&](DispatcherId id, const DispatcherRow& row) {
          const bool has_pending_sync = std::ranges::any_of(
              m_cell.m_pending_syncs,
              [&](const auto& sync) { return sync.m_dispatcher == id; });
          if (row.m_cell == m_cell_id && !has_pending_sync &&
              ServerCount(id) == 0 &&
              m_now > row.m_last_sync_at + kDispatcherRetention) {
            m_tables.m_dispatchers.Erase(id);
          }
        });
  }

  void ExpireLease(const std::string& name,
                   BackendServerId server_id,
                   BackendServerRow& server) {
    if (const DispatcherRow* row =
            m_tables.m_dispatchers.Find(server.m_dispatcher)) {
      LogDispatcherEvent(EventNumber::kDispatcherLapsed, name, *row);
    }
    server.m_dispatcher = {};
    server.m_dispatcher_releasing = false;
    server.m_may_send_until = server.m_dispatch_lease_until;
    server.m_may_run_until = server.m_dispatch_lease_until +
                             m_cell.m_service.m_max_deadline +
                             m_tables.m_settings.m_max_wall_skew;
    m_cell.m_routes_dirty = true;
    EraseDedupStatesOf(server_id);
  }

  // A dispatcher whose lease expired may have accepted request ids that no
  // reported state contains.
  void EraseDedupStatesOf(BackendServerId server_id) {
    for (const auto& [number, partition_id] : m_cell.m_partitions) {
      const PartitionRow& partition = m_tables.m_partitions.Get(partition_id);
      if (partition.m_owner == server_id ||
          partition.m_previous_owner == server_id) {
        EraseDedupState(number);
      }
    }
  }

  void FinishReleases() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      const DispatcherRow* row =
          m_tables.m_dispatchers.Find(server.m_dispatcher);
      if (!row || !server.m_dispatcher_releasing ||
          server.m_dispatcher_removed_in_response == 0) {
        continue;
      }
      const bool released =
          row->m_control_epoch == m_cell.m_lease.m_record.m_epoch &&
          row->m_applied_number >= server.m_dispatcher_removed_in_response &&
          !row->m_draining_servers.contains(name);
      if (released) {
        server.m_dispatcher = {};
        server.m_dispatcher_releasing = false;
        m_cell.m_routes_dirty = true;
      }
    }
  }

  bool IsLive(const DispatcherRow& row) const {
    const Duration timeout = m_tables.m_settings.m_dispatcher_silence_timeout;
    return row.m_cell == m_cell_id && !row.m_shutting_down &&
           m_now - row.m_last_sync_at <= timeout &&
           m_now - row.m_last_acknowledged_at <= timeout;
  }

  bool IsInServingDataCentre(const DispatcherRow& row) const {
    const auto& all = m_tables.m_config.m_configuration.m_data_centres;
    const auto found =
        std::ranges::find(all, row.m_data_centre, &DataCentreConfig::m_name);
    return found == all.end() || found->m_state == ServingState::kServing;
  }

  // Counts servers per dispatcher once; later changes in the tick update the
  // counts.
  void CountServersPerDispatcher() {
    m_server_counts.clear();
    for (const auto& [name, id] : m_cell.m_servers) {
      const BackendServerRow& server = m_tables.m_servers.Get(id);
      if (!server.m_removed && server.m_dispatcher.IsValid()) {
        ++m_server_counts[server.m_dispatcher];
      }
    }
  }

  size_t ServerCount(DispatcherId id) const {
    const auto found = m_server_counts.find(id);
    return found == m_server_counts.end() ? 0 : found->second;
  }

  // Prefers a dispatcher in a serving data centre, then one in the server's
  // data centre, then the one with the fewest servers.
  using Cost = std::tuple<bool, bool, size_t>;
  DispatcherId ChooseDispatcher(const BackendServerRow& server) const {
    DispatcherId best;
    Cost best_cost;
    m_tables.m_dispatchers.ForEach(
        [&](DispatcherId id, const DispatcherRow& row) {
          if (!IsLive(row)) {
            return;
          }
          const Cost cost = {!IsInServingDataCentre(row),
                             row.m_data_centre != server.m_config.m_data_centre,
                             ServerCount(id)};
          if (!best.IsValid() || cost < best_cost) {
            best = id;
            best_cost = cost;
          }
        });
    return best;
  }

  void AppointDispatchers() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      if (server.m_dispatcher.IsValid() || server.m_removed ||
          m_now < server.m_may_send_until) {
        continue;
      }
      const DispatcherId chosen = ChooseDispatcher(server);
      if (!chosen.IsValid()) {
        continue;
      }
      server.m_dispatcher = chosen;
      ++m_server_counts[chosen];
      server.m_dispatcher_releasing = false;
      server.m_dispatcher_removed_in_response = 0;
      // The lease begins with the first response that lists the server.
      server.m_dispatch_lease_until = TimePoint();
      m_cell.m_routes_dirty = true;
      LogDispatcherEvent(EventNumber::kDispatcherAppointed, name,
                         m_tables.m_dispatchers.Get(chosen));
    }
  }

  void ReplaceUnavailable() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      const DispatcherRow* row =
          m_tables.m_dispatchers.Find(server.m_dispatcher);
      if (!row || (IsLive(*row) && IsInServingDataCentre(*row))) {
        continue;
      }
      const DispatcherId better = ChooseDispatcher(server);
      if (better.IsValid() && better != server.m_dispatcher) {
        BeginReplacement(server);
      }
    }
  }

  void BeginReplacement(BackendServerRow& server) {
    if (server.m_dispatcher_releasing) {
      return;
    }
    server.m_dispatcher_releasing = true;
    // From the next response on, the server is not listed.
    server.m_dispatcher_removed_in_response = m_cell.m_last_response_number + 1;
    m_cell.m_routes_dirty = true;
  }

  // Moves at most one server per tick: to a dispatcher in the server's data
  // centre, or from a dispatcher that has at least two servers more.
  void BalanceServers() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      if (m_tables.m_servers.Get(server_id).m_dispatcher_releasing) {
        return;
      }
    }
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      const DispatcherRow* row =
          m_tables.m_dispatchers.Find(server.m_dispatcher);
      if (!row || server.m_removed) {
        continue;
      }
      const DispatcherId better = ChooseDispatcher(server);
      if (!better.IsValid() || better == server.m_dispatcher) {
        continue;
      }
      const std::string& data_centre = server.m_config.m_data_centre;
      const bool is_near = row->m_data_centre == data_centre;
      const bool better_is_near =
          m_tables.m_dispatchers.Get(better).m_data_centre == data_centre;
      const bool better_has_fewer =
          ServerCount(better) + 2 <= ServerCount(server.m_dispatcher);
      if ((better_is_near && !is_near) ||
          (better_is_near == is_near && better_has_fewer)) {
        BeginReplacement(server);
        return;
      }
    }
  }

  void LogDispatcherEvent(EventNumber number,
                          const std::string& server,
                          const DispatcherRow& row) {
    m_context.m_outbox.m_events.push_back(
        {number,
         {{"cell", m_cell.m_name},
          {"server", server},
          {"dispatcher", row.m_identity.m_address}}});
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellId m_cell_id;
  CellRow& m_cell;
  std::map<DispatcherId, size_t> m_server_counts;
};

void RejectSync(ControlContext& context,
                const ReceivedSyncRequest& received,
                const std::string& hint) {
  SyncResponse response;
  response.m_status = SyncStatus::kNotController;
  response.m_controller = hint;
  context.m_outbox.m_sync_responses.push_back(
      {received.m_handle, std::move(response)});
}

}  // namespace

void DispatcherSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  for (const ReceivedSyncRequest& received : context.m_inbox.m_sync_requests) {
    const CellId id = FindCell(tables, received.m_request.m_cell);
    CellRow* cell = tables.m_cells.Find(id);
    if (!cell || !CanDecide(*cell, now) || !ConfigIsFresh(tables, *cell)) {
      RejectSync(context, received, cell ? ControllerHint(*cell, tables) : "");
      continue;
    }
    CellDispatchers(context, id, *cell).ApplyReport(received);
  }
  tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    if (CanDecide(cell, now)) {
      CellDispatchers(context, id, cell).Advance();
    }
  });
}

}  // namespace foxtail
