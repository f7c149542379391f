#include "traffic/dispatch_system.h"

#include <algorithm>
#include <cassert>

#include "core/error.h"

namespace foxtail {
namespace {

// Maximum number of loads in one sync request; the highest come first.
constexpr size_t kMaxReportedLoads = 32;

std::vector<PartitionLoad> SelectHighestLoads(
    const std::unordered_map<PartitionNumber, uint32_t>& loads) {
  std::vector<PartitionLoad> all;
  for (const auto& [number, requests] : loads) {
    all.push_back({number, requests});
  }
  std::ranges::sort(all, std::ranges::greater(), &PartitionLoad::m_requests);
  all.resize(std::min(all.size(), kMaxReportedLoads));
  return all;
}

}  // namespace

DispatchSystem::DispatchSystem(const DispatchSettings& settings,
                               DispatchStrategies strategies)
    : m_settings(settings), m_strategies(std::move(strategies)) {}

const RoutePartition* DispatchSystem::FindSendablePartition(
    const TrafficCellRow& cell,
    PartitionNumber number,
    const std::string& server) const {
  if (!cell.m_routes) {
    return nullptr;
  }
  const RoutePartition* partition = FindPartition(*cell.m_routes, number);
  if (!partition || partition->m_paused ||
      cell.m_routes->m_servers[partition->m_server].m_name != server) {
    return nullptr;
  }
  return partition;
}

DispatchServerId DispatchSystem::FindServer(const TrafficCellRow& cell,
                                            PartitionNumber number) const {
  if (!cell.m_routes) {
    return {};
  }
  const RoutePartition* partition = FindPartition(*cell.m_routes, number);
  if (!partition || partition->m_paused) {
    return {};
  }
  const auto found =
      cell.m_servers.find(cell.m_routes->m_servers[partition->m_server].m_name);
  return found == cell.m_servers.end() ? DispatchServerId() : found->second;
}

bool DispatchSystem::Apply(const std::string& name,
                           const SyncResponse& response,
                           TimePoint sent_at,
                           const Now& now) {
  if (response.m_status != SyncStatus::kOk ||
      now.m_steady >= sent_at + response.m_authority_ttl) {
    return false;
  }
  TrafficCellId id = FindCell(m_tables, name);
  if (!id.IsValid()) {
    TrafficCellRow row;
    row.m_name = name;
    id = m_tables.m_cells.Insert(std::move(row));
  }
  TrafficCellRow& cell = m_tables.m_cells.Get(id);
  const bool newer_epoch = response.m_control_epoch > cell.m_control_epoch;
  const bool newer_number = response.m_control_epoch == cell.m_control_epoch &&
                            response.m_number > cell.m_applied_number;
  // The first response of a new controller must contain its routes.
  if ((!newer_epoch && !newer_number) || (newer_epoch && !response.m_routes) ||
      response.m_config_version < cell.m_config_version) {
    return false;
  }
  cell.m_control_epoch = response.m_control_epoch;
  cell.m_applied_number = response.m_number;
  cell.m_config_version = response.m_config_version;
  DropUnleasedRegistries(cell, now.m_steady);
  if (response.m_routes) {
    ApplyRoutes(cell, response);
  }
  ApplyLeases(id, cell, response, sent_at);
  UpdateDedupRegistries(cell, response, now);
  return true;
}

// Once a lease has expired, another dispatcher may have accepted requests, so
// the registry is no longer complete.
void DispatchSystem::DropUnleasedRegistries(TrafficCellRow& cell,
                                            TimePoint now) {
  std::erase_if(cell.m_dedup_registries, [&](const auto& entry) {
    return now >= m_tables.m_servers.Get(entry.second.m_server).m_lease_until;
  });
}

void DispatchSystem::ApplyRoutes(TrafficCellRow& cell,
                                 const SyncResponse& response) {
  cell.m_routes = response.m_routes;
  cell.m_suspects.clear();
  for (const CrashSuspect& suspect : response.m_routes->m_suspects) {
    cell.m_suspects.emplace(suspect.m_fingerprint, suspect);
  }
  cell.m_quarantined = {response.m_routes->m_quarantined.begin(),
                        response.m_routes->m_quarantined.end()};
}

void DispatchSystem::ApplyLeases(TrafficCellId id,
                                 TrafficCellRow& cell,
                                 const SyncResponse& response,
                                 TimePoint sent_at) {
  const std::set<std::string> leased(response.m_leased_servers.begin(),
                                     response.m_leased_servers.end());
  for (auto& [name, server_id] : cell.m_servers) {
    if (!leased.contains(name)) {
      m_tables.m_servers.Get(server_id).m_lease_until = TimePoint();
    }
  }
  for (const std::string& name : leased) {
    DispatchServerId& server_id = cell.m_servers[name];
    if (!server_id.IsValid()) {
      DispatchServerRow row;
      row.m_cell = id;
      row.m_name = name;
      row.m_queue = m_strategies.m_queue();
      row.m_limit = m_strategies.m_limit();
      server_id = m_tables.m_servers.Insert(std::move(row));
    }
    DispatchServerRow& server = m_tables.m_servers.Get(server_id);
    server.m_lease_until =
        std::max(server.m_lease_until,
                 sent_at + response.m_pending_for + response.m_lease_ttl);
  }
}

// Each partition that this thread dispatches has a registry. The registry of a
// released partition is exported for the partition's next dispatcher.
void DispatchSystem::UpdateDedupRegistries(TrafficCellRow& cell,
                                           const SyncResponse& response,
                                           const Now& now) {
  std::map<PartitionNumber, DispatchServerId> leased;
  for (const RoutePartition& partition : cell.m_routes->m_partitions) {
    const DispatchServerId server = FindServer(cell, partition.m_number);
    if (server.IsValid() &&
        m_tables.m_servers.Get(server).m_lease_until > now.m_steady) {
      leased.emplace(partition.m_number, server);
    }
  }
  for (auto it = cell.m_dedup_registries.begin();
       it != cell.m_dedup_registries.end();) {
    const auto found = leased.find(it->first);
    if (found != leased.end() && found->second == it->second.m_server) {
      ++it;
    } else {
      cell.m_dedup_states[it->first] = it->second.m_registry.Export(it->first);
      it = cell.m_dedup_registries.erase(it);
    }
  }
  const WallTime complete_since =
      now.m_wall + m_settings.m_max_id_lead + m_settings.m_max_wall_skew;
  for (const auto& [number, server] : leased) {
    if (cell.m_dedup_registries.contains(number)) {
      continue;
    }
    DedupRegistry registry(complete_since, m_settings.m_id_retention);
    for (const PartitionDedupState& state : response.m_dedup_states) {
      if (state.m_number == number) {
        registry.Import(state);
      }
    }
    cell.m_dedup_states.erase(number);
    cell.m_dedup_registries.emplace(
        number, PartitionDedup{server, std::move(registry)});
  }
}

bool DispatchSystem::IsDraining(const InFlightRow& row) const {
  const DispatchServerRow& server = m_tables.m_servers.Get(row.m_server);
  const TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  const RoutePartition* partition =
      FindSendablePartition(cell, row.m_partition, server.m_name);
  return !partition || partition->m_epoch != row.m_epoch;
}

void DispatchSystem::FillReport(const std::string& name,
                                SyncRequest& request,
                                const Now& now) {
  request.m_cell = name;
  TrafficCellRow* cell = m_tables.m_cells.Find(FindCell(m_tables, name));
  if (!cell) {
    return;
  }
  request.m_control_epoch = cell->m_control_epoch;
  request.m_applied_number = cell->m_applied_number;
  request.m_config_version = cell->m_config_version;
  request.m_routes_version = cell->m_routes ? cell->m_routes->m_version : 0;
  for (auto& [server_name, id] : cell->m_servers) {
    DispatchServerRow& server = m_tables.m_servers.Get(id);
    const bool lease_valid = now.m_steady < server.m_lease_until;
    if (lease_valid) {
      request.m_leased_servers.push_back(server_name);
    }
    request.m_observations.push_back(
        {server_name, server.m_running,
         static_cast<uint32_t>(server.m_queue->size()), server.m_responses,
         server.m_lost_connections});
    server.m_responses = 0;
    server.m_lost_connections = 0;
  }
  std::set<std::string> draining_servers;
  std::set<PartitionNumber> draining;
  m_tables.m_in_flight.ForEach([&](auto, const InFlightRow& row) {
    const DispatchServerRow& server = m_tables.m_servers.Get(row.m_server);
    if (m_tables.m_cells.Find(server.m_cell) != cell) {
      return;
    }
    if (IsDraining(row)) {
      draining.insert(row.m_partition);
      request.m_draining_partitions.push_back({row.m_partition, row.m_epoch});
    }
    if (now.m_steady >= server.m_lease_until) {
      draining_servers.insert(server.m_name);
    }
  });
  request.m_draining_servers = {draining_servers.begin(),
                                draining_servers.end()};
  // A deduplication state is complete only once the outcome of every request in
  // flight is known.
  for (const auto& [number, state] : cell->m_dedup_states) {
    if (!draining.contains(number)) {
      request.m_dedup_states.push_back(state);
    }
  }
  request.m_suspects = std::move(cell->m_new_suspects);
  cell->m_new_suspects.clear();
  request.m_loads = SelectHighestLoads(cell->m_loads);
  cell->m_loads.clear();
}

void DispatchSystem::OnReportAcknowledged(const SyncRequest& request) {
  if (TrafficCellRow* cell =
          m_tables.m_cells.Find(FindCell(m_tables, request.m_cell))) {
    for (const PartitionDedupState& state : request.m_dedup_states) {
      cell->m_dedup_states.erase(state.m_number);
    }
  }
}

void DispatchSystem::OnReportLost(const SyncRequest& request) {
  if (TrafficCellRow* cell =
          m_tables.m_cells.Find(FindCell(m_tables, request.m_cell))) {
    cell->m_new_suspects.insert(cell->m_new_suspects.end(),
                                request.m_suspects.begin(),
                                request.m_suspects.end());
  }
}

DispatchServerId DispatchSystem::Admit(const DispatchQuery& query,
                                       TicketNumber ticket,
                                       const Now& now) {
  TrafficCellRow* cell =
      m_tables.m_cells.Find(FindCell(m_tables, query.m_cell));
  if (!cell) {
    throw Error(ErrorCode::kNotDispatcher, query.m_cell);
  }
  const DispatchServerId id = FindServer(*cell, query.m_partition);
  if (!id.IsValid() || !MaySend(query, id, now.m_steady)) {
    throw Error(ErrorCode::kNotDispatcher, query.m_cell);
  }
  if (cell->m_quarantined.contains(query.m_fingerprint)) {
    throw Error(ErrorCode::kRequestQuarantined);
  }
  DispatchServerRow& server = m_tables.m_servers.Get(id);
  const RoutePartition* partition =
      FindPartition(*cell->m_routes, query.m_partition);
  const RouteServer& route = cell->m_routes->m_servers[partition->m_server];
  const bool slot_free =
      server.m_running < server.m_limit->Limit(route.m_slots);
  const size_t waiting = server.m_queue->size() + server.m_suspect_queue.size();
  if (!slot_free && waiting >= route.m_queue) {
    throw Error(ErrorCode::kServerQueueFull, server.m_name);
  }
  if (!query.m_idempotent) {
    cell->m_dedup_registries.at(query.m_partition)
        .m_registry.Accept(query.m_id, query.m_fresh, now.m_wall);
  }
  ++cell->m_loads[query.m_partition];
  if (cell->m_suspects.contains(query.m_fingerprint)) {
    server.m_suspect_queue.Push(ticket, query.m_workspace, query.m_weight);
  } else {
    server.m_queue->Push(ticket, query.m_workspace, query.m_weight);
  }
  return id;
}

void DispatchSystem::Abandon(const DispatchQuery& query,
                             DispatchServerId server,
                             TicketNumber ticket) {
  if (DispatchServerRow* row = m_tables.m_servers.Find(server)) {
    row->m_queue->Remove(ticket);
    row->m_suspect_queue.Remove(ticket);
  }
  if (query.m_idempotent) {
    return;
  }
  TrafficCellRow* cell =
      m_tables.m_cells.Find(FindCell(m_tables, query.m_cell));
  const auto registry = cell->m_dedup_registries.find(query.m_partition);
  if (registry != cell->m_dedup_registries.end()) {
    registry->second.m_registry.Forget(query.m_id);
  }
  const auto state = cell->m_dedup_states.find(query.m_partition);
  if (state != cell->m_dedup_states.end()) {
    std::erase_if(state->second.m_accepted,
                  [&](const AcceptedRequest& accepted) {
                    return accepted.m_hash == DedupRegistry::HashOf(query.m_id);
                  });
  }
}

uint32_t DispatchSystem::SlotsOf(const DispatchServerRow& server) const {
  const TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  for (const RouteServer& route : cell.m_routes->m_servers) {
    if (route.m_name == server.m_name) {
      return route.m_slots;
    }
  }
  return 1;
}

std::optional<DispatchSystem::Slot> DispatchSystem::AcquireSlot(
    DispatchServerId id) {
  DispatchServerRow* server = m_tables.m_servers.Find(id);
  if (!server || server->m_exclusive) {
    return std::nullopt;
  }
  // Suspects and other requests alternate, so that neither starves the other.
  const bool others_waiting = server->m_queue->size() > 0;
  const bool suspects_turn = server->m_suspect_queue.size() > 0 &&
                             (server->m_suspect_turn || !others_waiting);
  if (suspects_turn) {
    if (server->m_running > 0) {
      return std::nullopt;
    }
    server->m_suspect_turn = false;
    server->m_exclusive = true;
    ++server->m_running;
    return Slot{*server->m_suspect_queue.Pop(), true};
  }
  if (!others_waiting ||
      server->m_running >= server->m_limit->Limit(SlotsOf(*server))) {
    return std::nullopt;
  }
  server->m_suspect_turn = true;
  ++server->m_running;
  return Slot{*server->m_queue->Pop(), false};
}

void DispatchSystem::ReleaseSlot(DispatchServerId id) {
  DispatchServerRow& server = m_tables.m_servers.Get(id);
  assert(server.m_running > 0);
  --server.m_running;
  if (server.m_running == 0) {
    server.m_exclusive = false;
  }
}

bool DispatchSystem::MaySend(const DispatchQuery& query,
                             DispatchServerId id,
                             TimePoint now) const {
  const DispatchServerRow* server = m_tables.m_servers.Find(id);
  if (!server || now >= server->m_lease_until) {
    return false;
  }
  const TrafficCellRow& cell = m_tables.m_cells.Get(server->m_cell);
  return FindSendablePartition(cell, query.m_partition, server->m_name) !=
         nullptr;
}

InFlightId DispatchSystem::Begin(const DispatchQuery& query,
                                 DispatchServerId id) {
  const DispatchServerRow& server = m_tables.m_servers.Get(id);
  const TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  const RoutePartition* partition =
      FindSendablePartition(cell, query.m_partition, server.m_name);
  assert(partition != nullptr);
  InFlightRow row;
  row.m_server = id;
  row.m_partition = query.m_partition;
  row.m_epoch = partition->m_epoch;
  row.m_fingerprint = query.m_fingerprint;
  // The server checks the deadline against its own wall clock.
  row.m_may_run_until = query.m_deadline + m_settings.m_max_wall_skew;
  return m_tables.m_in_flight.Insert(row);
}

bool DispatchSystem::End(const DispatchQuery& query,
                         InFlightId id,
                         SendOutcome outcome,
                         const std::string& server_incarnation,
                         Duration latency,
                         TimePoint now) {
  InFlightRow& row = m_tables.m_in_flight.Get(id);
  const DispatchServerId server_id = row.m_server;
  DispatchServerRow& server = m_tables.m_servers.Get(server_id);
  const bool solo = server.m_exclusive;
  const bool draining = IsDraining(row);
  ReleaseSlot(server_id);
  switch (outcome) {
    case SendOutcome::kResponded:
      ++server.m_responses;
      server.m_limit->OnResponse(server_incarnation, latency);
      if (solo) {
        RecordCleared(row);
      }
      break;
    case SendOutcome::kRefused:
      server.m_limit->OnRefusal();
      Abandon(query, server_id, 0);
      break;
    case SendOutcome::kNotSent:
      server.m_limit->OnConnectionLost();
      ++server.m_lost_connections;
      Abandon(query, server_id, 0);
      break;
    case SendOutcome::kConnectionLost:
      server.m_limit->OnConnectionLost();
      ++server.m_lost_connections;
      RecordCrash(row, solo);
      break;
    case SendOutcome::kTimedOut:
      break;
  }
  const bool may_still_run = (outcome == SendOutcome::kConnectionLost ||
                              outcome == SendOutcome::kTimedOut) &&
                             now < row.m_may_run_until;
  if (may_still_run) {
    row.m_outcome_unknown = true;
    return false;
  }
  m_tables.m_in_flight.Erase(id);
  return draining;
}

// The other requests in flight at the same server are suspects too. Each is
// recorded when its own connection breaks.
void DispatchSystem::RecordCrash(const InFlightRow& row, bool solo) {
  const DispatchServerRow& server = m_tables.m_servers.Get(row.m_server);
  TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  CrashSuspect report;
  report.m_fingerprint = row.m_fingerprint;
  report.m_solo_crashes = solo ? 1 : 0;
  report.m_shared_crashes = solo ? 0 : 1;
  cell.m_new_suspects.push_back(report);
  // This thread isolates the suspect immediately, before the controller's
  // suspects arrive with the next routes.
  cell.m_suspects.emplace(row.m_fingerprint, report);
}

void DispatchSystem::RecordCleared(const InFlightRow& row) {
  const DispatchServerRow& server = m_tables.m_servers.Get(row.m_server);
  TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  CrashSuspect report;
  report.m_fingerprint = row.m_fingerprint;
  report.m_cleared = true;
  cell.m_new_suspects.push_back(report);
  cell.m_suspects.erase(row.m_fingerprint);
}

std::optional<DispatchSystem::Target> DispatchSystem::TargetOf(
    const DispatchQuery& query) const {
  const TrafficCellRow* cell =
      m_tables.m_cells.Find(FindCell(m_tables, query.m_cell));
  if (!cell || !cell->m_routes) {
    return std::nullopt;
  }
  const RoutePartition* partition =
      FindPartition(*cell->m_routes, query.m_partition);
  if (!partition) {
    return std::nullopt;
  }
  return Target{cell->m_routes->m_servers[partition->m_server].m_address,
                partition->m_epoch};
}

bool DispatchSystem::Expire(const Now& now) {
  bool drained = false;
  m_tables.m_in_flight.ForEach([&](InFlightId id, const InFlightRow& row) {
    if (row.m_outcome_unknown && now.m_steady >= row.m_may_run_until) {
      drained = drained || IsDraining(row);
      m_tables.m_in_flight.Erase(id);
    }
  });
  m_tables.m_cells.ForEach([&](auto, TrafficCellRow& cell) {
    for (auto& [number, dedup] : cell.m_dedup_registries) {
      dedup.m_registry.Expire(now.m_wall);
    }
  });
  return drained;
}

}  // namespace foxtail
