#include "traffic/dispatch_system.h"

#include <algorithm>
#include <cassert>

#include "core/error.h"

namespace foxtail {
namespace {

// Loads reported in one sync request; the busiest partitions come first.
constexpr size_t kReportedLoads = 32;

std::vector<PartitionLoad> BusiestPartitions(
    const std::unordered_map<PartitionNumber, uint32_t>& loads) {
  std::vector<PartitionLoad> all;
  for (const auto& [number, requests] : loads) {
    all.push_back({number, requests});
  }
  std::ranges::sort(all, std::ranges::greater(), &PartitionLoad::m_requests);
  all.resize(std::min(all.size(), kReportedLoads));
  return all;
}

}  // namespace

DispatchSystem::DispatchSystem(const DispatchSettings& settings,
                               DispatchStrategies strategies)
    : m_settings(settings), m_strategies(std::move(strategies)) {}

const RoutePartition* DispatchSystem::SendablePartition(
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

DispatchServerId DispatchSystem::ServerOf(const TrafficCellRow& cell,
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
                           TimePoint sent,
                           const Now& now) {
  if (response.m_status != SyncStatus::kOk ||
      now.m_steady >= sent + response.m_authority_ttl) {
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
  // A new controller's first answer must bring its routes.
  if ((!newer_epoch && !newer_number) || (newer_epoch && !response.m_routes) ||
      response.m_config_version < cell.m_config_version) {
    return false;
  }
  cell.m_control_epoch = response.m_control_epoch;
  cell.m_applied_number = response.m_number;
  cell.m_config_version = response.m_config_version;
  DropLapsedIds(cell, now.m_steady);
  if (response.m_routes) {
    ApplyRoutes(cell, response);
  }
  ApplyLeases(id, cell, response, sent);
  AlignMemories(cell, response, now);
  return true;
}

// Once a lease has lapsed another dispatcher may have accepted requests, so the
// ids known here are no longer all ids.
void DispatchSystem::DropLapsedIds(TrafficCellRow& cell, TimePoint now) {
  std::erase_if(cell.m_accepted, [&](const auto& entry) {
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
                                 TimePoint sent) {
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
                 sent + response.m_pending_for + response.m_lease_ttl);
  }
}

// Each partition in hand has a registry; one that was let go becomes a memory
// for its next dispatcher.
void DispatchSystem::AlignMemories(TrafficCellRow& cell,
                                   const SyncResponse& response,
                                   const Now& now) {
  std::map<PartitionNumber, DispatchServerId> in_hand;
  for (const RoutePartition& partition : cell.m_routes->m_partitions) {
    const DispatchServerId server = ServerOf(cell, partition.m_number);
    if (server.IsValid() &&
        m_tables.m_servers.Get(server).m_lease_until > now.m_steady) {
      in_hand.emplace(partition.m_number, server);
    }
  }
  for (auto it = cell.m_accepted.begin(); it != cell.m_accepted.end();) {
    const auto found = in_hand.find(it->first);
    if (found != in_hand.end() && found->second == it->second.m_server) {
      ++it;
    } else {
      cell.m_dedup_states[it->first] = it->second.m_registry.Export(it->first);
      it = cell.m_accepted.erase(it);
    }
  }
  const WallTime unknown_before =
      now.m_wall + m_settings.m_id_ahead + m_settings.m_wall_skew;
  for (const auto& [number, server] : in_hand) {
    if (cell.m_accepted.contains(number)) {
      continue;
    }
    SeenRegistry registry(unknown_before, m_settings.m_retention);
    for (const PartitionDedupState& memory : response.m_dedup_states) {
      if (memory.m_number == number) {
        registry.Import(memory);
      }
    }
    cell.m_dedup_states.erase(number);
    cell.m_accepted.emplace(number, PartitionIds{server, std::move(registry)});
  }
}

bool DispatchSystem::IsDraining(const InFlightRow& row) const {
  const DispatchServerRow& server = m_tables.m_servers.Get(row.m_server);
  const TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  const RoutePartition* partition =
      SendablePartition(cell, row.m_partition, server.m_name);
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
    const bool held = now.m_steady < server.m_lease_until;
    if (held) {
      request.m_leased_servers.push_back(server_name);
    }
    request.m_observations.push_back(
        {server_name, server.m_running,
         static_cast<uint32_t>(server.m_queue->size()), server.m_responses,
         server.m_connection_failures});
    server.m_responses = 0;
    server.m_connection_failures = 0;
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
  // A memory is complete once it is known of each request whether it ran.
  for (const auto& [number, memory] : cell->m_dedup_states) {
    if (!draining.contains(number)) {
      request.m_dedup_states.push_back(memory);
    }
  }
  request.m_suspects = std::move(cell->m_new_suspects);
  cell->m_new_suspects.clear();
  request.m_loads = BusiestPartitions(cell->m_loads);
  cell->m_loads.clear();
}

void DispatchSystem::OnReportAnswered(const SyncRequest& request) {
  if (TrafficCellRow* cell =
          m_tables.m_cells.Find(FindCell(m_tables, request.m_cell))) {
    for (const PartitionDedupState& memory : request.m_dedup_states) {
      cell->m_dedup_states.erase(memory.m_number);
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
  const DispatchServerId id = ServerOf(*cell, query.m_partition);
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
  if (!query.m_repeatable) {
    cell->m_accepted.at(query.m_partition)
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
  if (query.m_repeatable) {
    return;
  }
  TrafficCellRow* cell =
      m_tables.m_cells.Find(FindCell(m_tables, query.m_cell));
  const auto registry = cell->m_accepted.find(query.m_partition);
  if (registry != cell->m_accepted.end()) {
    registry->second.m_registry.Forget(query.m_id);
  }
  const auto memory = cell->m_dedup_states.find(query.m_partition);
  if (memory != cell->m_dedup_states.end()) {
    std::erase_if(memory->second.m_accepted, [&](const AcceptedRequest& seen) {
      return seen.m_hash == SeenRegistry::HashOf(query.m_id);
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

std::optional<DispatchSystem::Slot> DispatchSystem::TakeSlot(
    DispatchServerId id) {
  DispatchServerRow* server = m_tables.m_servers.Find(id);
  if (!server || server->m_exclusive) {
    return std::nullopt;
  }
  // Suspects and others take turns, so that neither keeps the other waiting.
  const bool others_wait = server->m_queue->size() > 0;
  const bool suspects_turn = server->m_suspect_queue.size() > 0 &&
                             (server->m_suspect_turn || !others_wait);
  if (suspects_turn) {
    if (server->m_running > 0) {
      return std::nullopt;
    }
    server->m_suspect_turn = false;
    server->m_exclusive = true;
    ++server->m_running;
    return Slot{*server->m_suspect_queue.Pop(), true};
  }
  if (!others_wait ||
      server->m_running >= server->m_limit->Limit(SlotsOf(*server))) {
    return std::nullopt;
  }
  server->m_suspect_turn = true;
  ++server->m_running;
  return Slot{*server->m_queue->Pop(), false};
}

void DispatchSystem::GiveSlot(DispatchServerId id) {
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
  return SendablePartition(cell, query.m_partition, server->m_name) != nullptr;
}

InFlightId DispatchSystem::Begin(const DispatchQuery& query,
                                 DispatchServerId id) {
  const DispatchServerRow& server = m_tables.m_servers.Get(id);
  const TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  const RoutePartition* partition =
      SendablePartition(cell, query.m_partition, server.m_name);
  assert(partition != nullptr);
  InFlightRow row;
  row.m_server = id;
  row.m_partition = query.m_partition;
  row.m_epoch = partition->m_epoch;
  row.m_fingerprint = query.m_fingerprint;
  // The server judges the deadline by its own wall clock.
  row.m_over_by = query.m_deadline + m_settings.m_wall_skew;
  return m_tables.m_in_flight.Insert(row);
}

bool DispatchSystem::End(const DispatchQuery& query,
                         InFlightId id,
                         SendOutcome outcome,
                         const std::string& server_instance,
                         Duration latency,
                         TimePoint now) {
  InFlightRow& row = m_tables.m_in_flight.Get(id);
  const DispatchServerId server_id = row.m_server;
  DispatchServerRow& server = m_tables.m_servers.Get(server_id);
  const bool solo = server.m_exclusive;
  const bool draining = IsDraining(row);
  GiveSlot(server_id);
  switch (outcome) {
    case SendOutcome::kAnswered:
      ++server.m_responses;
      server.m_limit->OnAnswer(server_instance, latency);
      if (solo) {
        NoteCleared(row);
      }
      break;
    case SendOutcome::kRefused:
      server.m_limit->OnRefusal();
      Abandon(query, server_id, 0);
      break;
    case SendOutcome::kNotSent:
      server.m_limit->OnConnectionLost();
      ++server.m_connection_failures;
      Abandon(query, server_id, 0);
      break;
    case SendOutcome::kLost:
      server.m_limit->OnConnectionLost();
      ++server.m_connection_failures;
      NoteCrash(row, solo);
      break;
    case SendOutcome::kTimedOut:
      break;
  }
  const bool may_still_run =
      (outcome == SendOutcome::kLost || outcome == SendOutcome::kTimedOut) &&
      now < row.m_over_by;
  if (may_still_run) {
    row.m_lingering = true;
    return false;
  }
  m_tables.m_in_flight.Erase(id);
  return draining;
}

// Others in flight at the same server share the suspicion; each of them reports
// itself when its own connection breaks.
void DispatchSystem::NoteCrash(const InFlightRow& crashed, bool solo) {
  const DispatchServerRow& server = m_tables.m_servers.Get(crashed.m_server);
  TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  CrashSuspect report;
  report.m_fingerprint = crashed.m_fingerprint;
  report.m_solo_crashes = solo ? 1 : 0;
  report.m_shared_crashes = solo ? 0 : 1;
  cell.m_new_suspects.push_back(report);
  // Until the controller's word comes back, this thread knows already.
  cell.m_suspects.emplace(crashed.m_fingerprint, report);
}

void DispatchSystem::NoteCleared(const InFlightRow& answered) {
  const DispatchServerRow& server = m_tables.m_servers.Get(answered.m_server);
  TrafficCellRow& cell = m_tables.m_cells.Get(server.m_cell);
  CrashSuspect report;
  report.m_fingerprint = answered.m_fingerprint;
  report.m_cleared = true;
  cell.m_new_suspects.push_back(report);
  cell.m_suspects.erase(answered.m_fingerprint);
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
    if (row.m_lingering && now.m_steady >= row.m_over_by) {
      drained = drained || IsDraining(row);
      m_tables.m_in_flight.Erase(id);
    }
  });
  m_tables.m_cells.ForEach([&](auto, TrafficCellRow& cell) {
    for (auto& [number, ids] : cell.m_accepted) {
      ids.m_registry.Expire(now.m_wall);
    }
  });
  return drained;
}

}  // namespace foxtail
