#include "control/dispatcher_system.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// A cell waits this long for dispatchers to report before it appoints any, so
// that the first to report does not receive every server.
constexpr milliseconds kGatherTime{100};
constexpr milliseconds kForgetAfter{5000};

// Time over which loads are averaged.
constexpr milliseconds kLoadMemory{2000};

DispatcherId FindOrAdd(ControlTables& tables,
                       CellId cell_id,
                       const SyncRequest& request,
                       bool& known) {
  const DispatcherId found =
      tables.m_dispatchers.FindIf([&](const DispatcherRow& row) {
        return row.m_cell == cell_id && row.m_name == request.m_dispatcher;
      });
  if (found.IsValid()) {
    return found;
  }
  known = false;
  DispatcherRow row;
  row.m_cell = cell_id;
  row.m_name = request.m_dispatcher;
  return tables.m_dispatchers.Insert(std::move(row));
}

std::string HolderHint(const CellRow& cell, const ControlTables& tables) {
  const LeaseRecord& record = cell.m_lease.m_record;
  return record.m_released || record.m_holder == tables.m_self
             ? ""
             : record.m_holder.m_address;
}

// Decisions about the dispatchers of one cell in one tick.
class CellDispatchers {
 public:
  CellDispatchers(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_now(context.m_now.m_steady),
        m_id(id),
        m_cell(cell) {}

  void TakeIn(const SyncAsked& asked) {
    const SyncRequest& request = asked.m_request;
    bool known = true;
    const DispatcherId id = FindOrAdd(m_tables, m_id, request, known);
    DispatcherRow& row = m_tables.m_dispatchers.Get(id);
    row.m_data_centre = request.m_data_centre;
    row.m_last_sync = std::max(row.m_last_sync, asked.m_received);
    row.m_shutting_down = row.m_shutting_down || request.m_shutting_down;
    if (!known) {
      row.m_last_acknowledged = m_now;
    }
    if (request.m_control_epoch == m_cell.m_lease.m_record.m_epoch) {
      Acknowledge(row, request);
    }
    row.m_config_version = request.m_config_version;
    AdoptClaims(id, request);
    NoteLoads(row, asked);
    NoteServers(request);
    // After a lapse another dispatcher may have seen ids that the memories of
    // this one lack.
    if (known) {
      NoteMemories(request);
    }
    Park(id, asked);
  }

  void Advance() {
    CountServers();
    DropLapsed();
    ReleaseServers();
    CountServers();
    if (m_now < m_cell.m_taken_over_at + kGatherTime) {
      return;
    }
    ReplaceLeaving();
    Appoint();
    Balance();
  }

 private:
  // A report may be older than one already taken in when two were on the way.
  void Acknowledge(DispatcherRow& row, const SyncRequest& request) {
    const bool same_epoch = row.m_control_epoch == request.m_control_epoch;
    if (same_epoch && request.m_applied_number < row.m_applied_number) {
      return;
    }
    if (!same_epoch || request.m_applied_number > row.m_applied_number) {
      row.m_last_acknowledged = m_now;
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

  // After a takeover the dispatchers tell what they hold and keep it.
  void AdoptClaims(DispatcherId id, const SyncRequest& request) {
    for (const std::string& name : request.m_leased_servers) {
      const auto found = m_cell.m_servers.find(name);
      if (found == m_cell.m_servers.end()) {
        continue;
      }
      BackendServerRow& server = m_tables.m_servers.Get(found->second);
      if (!server.m_dispatcher.IsValid() && m_now < server.m_send_bound) {
        server.m_dispatcher = id;
        server.m_dispatcher_leaving = false;
        server.m_lease_bound = server.m_send_bound;
        m_cell.m_changed = true;
      }
    }
  }

  // Partitions that are not among the busiest reported count as idle.
  void NoteLoads(DispatcherRow& row, const SyncAsked& asked) {
    const Duration elapsed = asked.m_received - row.m_last_load;
    const bool first = row.m_last_load == TimePoint();
    row.m_last_load = asked.m_received;
    if (first || elapsed <= Duration::zero()) {
      return;
    }
    std::map<PartitionNumber, double> rates;
    for (const PartitionLoad& load : asked.m_request.m_loads) {
      rates[load.m_number] = load.m_requests / ToSeconds(elapsed);
    }
    const double weight =
        1 - std::exp(-ToSeconds(elapsed) / ToSeconds(kLoadMemory));
    for (const std::string& name : asked.m_request.m_leased_servers) {
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

  void NoteServers(const SyncRequest& request) {
    for (const ServerObservation& seen : request.m_observations) {
      const auto found = m_cell.m_servers.find(seen.m_server);
      if (found == m_cell.m_servers.end()) {
        continue;
      }
      BackendServerRow& server = m_tables.m_servers.Get(found->second);
      server.m_in_flight = seen.m_in_flight;
      server.m_queued = seen.m_queued;
      if (seen.m_connection_failures > 0) {
        server.m_next_probe = m_now;
      }
    }
  }

  void NoteMemories(const SyncRequest& request) {
    for (const PartitionDedupState& memory : request.m_dedup_states) {
      ForgetMemory(memory.m_number);
      m_tables.m_dedup_states.Insert(
          {m_id, memory, m_now + m_tables.m_settings.m_retention});
    }
  }

  void ForgetMemory(PartitionNumber number) {
    m_tables.m_dedup_states.ForEach([&](auto id, const MemoryRow& row) {
      if (row.m_cell == m_id && row.m_memory.m_number == number) {
        m_tables.m_dedup_states.Erase(id);
      }
    });
  }

  void Park(DispatcherId id, const SyncAsked& asked) {
    // A newer request of the same dispatcher releases the older ones.
    for (ParkedSync& parked : m_cell.m_parked) {
      if (parked.m_dispatcher == id) {
        parked.m_answer_now = true;
      }
    }
    ParkedSync parked;
    parked.m_handle = asked.m_handle;
    parked.m_dispatcher = id;
    parked.m_received = asked.m_received;
    parked.m_answer_by = asked.m_received + m_tables.m_settings.m_sync_hold;
    parked.m_routes_epoch = asked.m_request.m_control_epoch;
    parked.m_routes_version = asked.m_request.m_routes_version;
    parked.m_access_version = asked.m_request.m_config_version;
    m_cell.m_parked.push_back(parked);
  }

  void DropLapsed() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      if (server.m_dispatcher.IsValid() && m_now > server.m_lease_bound &&
          server.m_lease_bound != TimePoint()) {
        Lapse(name, server_id, server);
      }
    }
    m_tables.m_dispatchers.ForEach(
        [&](DispatcherId id, const DispatcherRow& row) {
          const bool parked = std::ranges::any_of(
              m_cell.m_parked,
              [&](const auto& sync) { return sync.m_dispatcher == id; });
          if (row.m_cell == m_id && !parked && CountOf(id) == 0 &&
              m_now > row.m_last_sync + kForgetAfter) {
            m_tables.m_dispatchers.Erase(id);
          }
        });
  }

  void Lapse(const std::string& name,
             BackendServerId server_id,
             BackendServerRow& server) {
    if (const DispatcherRow* row =
            m_tables.m_dispatchers.Find(server.m_dispatcher)) {
      Note(EventNumber::kDispatcherLapsed, name, *row);
    }
    server.m_dispatcher = {};
    server.m_dispatcher_leaving = false;
    server.m_send_bound = server.m_lease_bound;
    server.m_run_bound = server.m_lease_bound +
                         m_cell.m_service.m_max_deadline +
                         m_tables.m_settings.m_wall_skew;
    m_cell.m_changed = true;
    ForgetMemoriesOf(server_id);
  }

  // The lapsed dispatcher may have seen request ids that nobody else knows.
  void ForgetMemoriesOf(BackendServerId server_id) {
    for (const auto& [number, partition_id] : m_cell.m_partitions) {
      const PartitionRow& partition = m_tables.m_partitions.Get(partition_id);
      if (partition.m_owner == server_id || partition.m_previous == server_id) {
        ForgetMemory(number);
      }
    }
  }

  void ReleaseServers() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      const DispatcherRow* row =
          m_tables.m_dispatchers.Find(server.m_dispatcher);
      if (!row || !server.m_dispatcher_leaving ||
          server.m_dispatcher_dropped_at == 0) {
        continue;
      }
      const bool let_go =
          row->m_control_epoch == m_cell.m_lease.m_record.m_epoch &&
          row->m_applied_number >= server.m_dispatcher_dropped_at &&
          !row->m_draining_servers.contains(name);
      if (let_go) {
        server.m_dispatcher = {};
        server.m_dispatcher_leaving = false;
        m_cell.m_changed = true;
      }
    }
  }

  bool IsLive(const DispatcherRow& row) const {
    const Duration patience = m_tables.m_settings.m_sync_patience;
    return row.m_cell == m_id && !row.m_shutting_down &&
           m_now - row.m_last_sync <= patience &&
           m_now - row.m_last_acknowledged <= patience;
  }

  bool IsInServingDataCentre(const DispatcherRow& row) const {
    const auto& all = m_tables.m_config.m_configuration.m_data_centres;
    const auto found =
        std::ranges::find(all, row.m_data_centre, &DataCentreConfig::m_name);
    return found == all.end() || found->m_state == ServingState::kServing;
  }

  // Servers per dispatcher; counted once a tick and kept up with changes.
  void CountServers() {
    m_counts.clear();
    for (const auto& [name, id] : m_cell.m_servers) {
      const BackendServerRow& server = m_tables.m_servers.Get(id);
      if (!server.m_removed && server.m_dispatcher.IsValid()) {
        ++m_counts[server.m_dispatcher];
      }
    }
  }

  size_t CountOf(DispatcherId id) const {
    const auto found = m_counts.find(id);
    return found == m_counts.end() ? 0 : found->second;
  }

  // Prefers a dispatcher in a serving data centre, then in that of the server,
  // then the one with the fewest servers.
  using Cost = std::tuple<bool, bool, size_t>;
  DispatcherId Choose(const BackendServerRow& server) const {
    DispatcherId best;
    Cost best_cost;
    m_tables.m_dispatchers.ForEach(
        [&](DispatcherId id, const DispatcherRow& row) {
          if (!IsLive(row)) {
            return;
          }
          const Cost cost = {!IsInServingDataCentre(row),
                             row.m_data_centre != server.m_config.m_data_centre,
                             CountOf(id)};
          if (!best.IsValid() || cost < best_cost) {
            best = id;
            best_cost = cost;
          }
        });
    return best;
  }

  void Appoint() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      if (server.m_dispatcher.IsValid() || server.m_removed ||
          m_now < server.m_send_bound) {
        continue;
      }
      const DispatcherId chosen = Choose(server);
      if (!chosen.IsValid()) {
        continue;
      }
      server.m_dispatcher = chosen;
      ++m_counts[chosen];
      server.m_dispatcher_leaving = false;
      server.m_dispatcher_dropped_at = 0;
      // Counts from the answer that first tells the dispatcher.
      server.m_lease_bound = TimePoint();
      m_cell.m_changed = true;
      Note(EventNumber::kDispatcherAppointed, name,
           m_tables.m_dispatchers.Get(chosen));
    }
  }

  void ReplaceLeaving() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      BackendServerRow& server = m_tables.m_servers.Get(server_id);
      const DispatcherRow* row =
          m_tables.m_dispatchers.Find(server.m_dispatcher);
      if (!row || (IsLive(*row) && IsInServingDataCentre(*row))) {
        continue;
      }
      const DispatcherId better = Choose(server);
      if (better.IsValid() && better != server.m_dispatcher) {
        BeginReplacement(server);
      }
    }
  }

  void BeginReplacement(BackendServerRow& server) {
    if (server.m_dispatcher_leaving) {
      return;
    }
    server.m_dispatcher_leaving = true;
    // The next response no longer lists the server.
    server.m_dispatcher_dropped_at = m_cell.m_response_number + 1;
    m_cell.m_changed = true;
  }

  // Moves one server a tick from a dispatcher with two more than another.
  void Balance() {
    for (const auto& [name, server_id] : m_cell.m_servers) {
      if (m_tables.m_servers.Get(server_id).m_dispatcher_leaving) {
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
      const DispatcherId better = Choose(server);
      if (!better.IsValid() || better == server.m_dispatcher) {
        continue;
      }
      const std::string& zone = server.m_config.m_data_centre;
      const bool near = row->m_data_centre == zone;
      const bool better_near =
          m_tables.m_dispatchers.Get(better).m_data_centre == zone;
      const bool fewer = CountOf(better) + 2 <= CountOf(server.m_dispatcher);
      if ((better_near && !near) || (better_near == near && fewer)) {
        BeginReplacement(server);
        return;
      }
    }
  }

  void Note(EventNumber number,
            const std::string& server,
            const DispatcherRow& row) {
    m_context.m_outbox.m_events.push_back(
        {number,
         {{"cell", m_cell.m_name},
          {"server", server},
          {"dispatcher", row.m_name.m_address}}});
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellId m_id;
  CellRow& m_cell;
  std::map<DispatcherId, size_t> m_counts;
};

void Refuse(ControlContext& context,
            const SyncAsked& asked,
            const std::string& hint) {
  SyncResponse response;
  response.m_status = SyncStatus::kNotController;
  response.m_controller = hint;
  context.m_outbox.m_syncs.push_back({asked.m_handle, std::move(response)});
}

}  // namespace

void DispatcherSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  for (const SyncAsked& asked : context.m_inbox.m_syncs) {
    const CellId id = FindCell(tables, asked.m_request.m_cell);
    CellRow* cell = tables.m_cells.Find(id);
    if (!cell || !CanDecide(*cell, now) || !ConfigIsFresh(tables, *cell)) {
      Refuse(context, asked, cell ? HolderHint(*cell, tables) : "");
      continue;
    }
    CellDispatchers(context, id, *cell).TakeIn(asked);
  }
  tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    if (CanDecide(cell, now)) {
      CellDispatchers(context, id, cell).Advance();
    }
  });
}

}  // namespace foxtail
