#include "control/partition_moves.h"

#include <algorithm>

namespace foxtail {
namespace {

// A server that the record names but the configuration lacks keeps a row until
// its rights have ended.
BackendServerId FindOrAddServer(ControlTables& tables,
                                CellId cell_id,
                                CellRow& cell,
                                const std::string& name) {
  if (name.empty()) {
    return {};
  }
  BackendServerId& id = cell.m_servers[name];
  if (!id.IsValid()) {
    BackendServerRow server;
    server.m_cell = cell_id;
    server.m_config.m_name = name;
    server.m_removed = true;
    server.m_serving = false;
    id = tables.m_servers.Insert(std::move(server));
  }
  return id;
}

// The rights that an earlier controller's dispatch leases and grants still give
// are unknown, except for the time by which they end.
void ResetRights(ControlTables& tables, CellRow& cell, TimePoint now) {
  const ControlSettings& settings = tables.m_settings;
  const Duration lease_overrun =
      AddClockDrift(settings, settings.m_max_dispatch_lease_overrun);
  const TimePoint predecessor_end = cell.m_predecessor_active_until;
  const Duration grant_ttl = AddClockDrift(settings, settings.m_grant_ttl);
  for (const auto& [name, id] : cell.m_servers) {
    BackendServerRow& server = tables.m_servers.Get(id);
    server.m_dispatcher = {};
    server.m_dispatcher_releasing = false;
    server.m_may_send_until = predecessor_end + lease_overrun;
    server.m_may_run_until = now + lease_overrun +
                             cell.m_service.m_max_deadline +
                             settings.m_max_wall_skew;
    server.m_possible_grants_known = false;
    server.m_confirmed_grants.clear();
    server.m_possible_grants.clear();
    server.m_pending_grants.clear();
    server.m_grant_in_flight = false;
    server.m_grant_due = true;
    server.m_next_grant_at = now;
    server.m_grants_valid_until =
        predecessor_end + grant_ttl + 2 * settings.m_max_wall_skew;
  }
}

template <typename Row>
void EraseRowsOfCell(Table<Row>& table, CellId cell_id) {
  table.ForEach([&](auto id, const Row& row) {
    if (row.m_cell == cell_id) {
      table.Erase(id);
    }
  });
}

std::map<PartitionNumber, std::string> ConfiguredPartitions(
    const ServiceConfig& service) {
  std::map<PartitionNumber, std::string> configured;
  for (PartitionNumber i = 0; i < service.m_partitions; ++i) {
    configured.emplace(i, "");
  }
  for (const PinnedKeyConfig& pin : service.m_pinned_keys) {
    configured.emplace(PartitionOfPin(pin.m_key), pin.m_server);
  }
  return configured;
}

// While a pinned key leaves or joins its hash range, the range goes through a
// move to its own owner, so that the key's previous right ends before the new
// one begins. `blocker` is the pin whose right must end first, if any.
void PassThroughRelease(ControlTables& tables,
                        PartitionId range_id,
                        PartitionId blocker,
                        TimePoint now) {
  PartitionRow& range = tables.m_partitions.Get(range_id);
  if (MayStartMove(range) && range.m_owner.IsValid()) {
    StartMove(range, range.m_owner, now);
  }
  if (blocker.IsValid()) {
    range.m_blockers.push_back(blocker);
  }
}

void BeginPin(ControlTables& tables,
              CellRow& cell,
              PartitionId pin_id,
              TimePoint now) {
  PartitionRow& pin = tables.m_partitions.Get(pin_id);
  for (PartitionNumber number : HashRangesOfPin(cell.m_service, pin.m_number)) {
    const auto range = cell.m_partitions.find(number);
    if (range != cell.m_partitions.end()) {
      PassThroughRelease(tables, range->second, {}, now);
      pin.m_blockers.push_back(range->second);
    }
  }
}

void RetirePin(ControlTables& tables,
               CellRow& cell,
               PartitionId pin_id,
               TimePoint now) {
  PartitionRow& pin = tables.m_partitions.Get(pin_id);
  StartMove(pin, {}, now);
  pin.m_retiring = true;
  for (PartitionNumber number : HashRangesOfPin(cell.m_service, pin.m_number)) {
    const auto range = cell.m_partitions.find(number);
    if (range != cell.m_partitions.end()) {
      PassThroughRelease(tables, range->second, pin_id, now);
    }
  }
}

}  // namespace

bool MayStartMove(const PartitionRow& partition) {
  return !partition.m_retiring && (partition.m_phase == MovePhase::kStable ||
                                   partition.m_phase == MovePhase::kGranting);
}

bool IsPaused(const PartitionRow& partition) {
  if (partition.m_phase == MovePhase::kRecording) {
    return !partition.m_blockers.empty();
  }
  return partition.m_phase != MovePhase::kStable;
}

void StartMove(PartitionRow& partition, BackendServerId target, TimePoint now) {
  partition.m_phase = MovePhase::kRecording;
  partition.m_target = target;
  partition.m_move_started_at = now;
}

void LoadPartitions(ControlTables& tables,
                    CellId cell_id,
                    CellRow& cell,
                    TimePoint now) {
  EraseRowsOfCell(tables.m_partitions, cell_id);
  EraseRowsOfCell(tables.m_dispatchers, cell_id);
  EraseRowsOfCell(tables.m_dedup_states, cell_id);
  cell.m_partitions.clear();
  for (const PartitionOwner& owner : cell.m_assignment.m_record.m_owners) {
    PartitionRow row;
    row.m_cell = cell_id;
    row.m_number = owner.m_number;
    row.m_owner = FindOrAddServer(tables, cell_id, cell, owner.m_server);
    row.m_epoch = owner.m_epoch;
    row.m_previous_owner =
        FindOrAddServer(tables, cell_id, cell, owner.m_previous);
    row.m_retiring = owner.m_server.empty();
    row.m_previous_owner_recorded = !owner.m_previous.empty();
    row.m_move_started_at = now;
    row.m_paused_in_routes_version = 1;
    row.m_phase = row.m_previous_owner_recorded ? MovePhase::kReleasing
                                                : MovePhase::kGranting;
    cell.m_partitions[row.m_number] = tables.m_partitions.Insert(row);
  }
  for (const auto& [number, id] : cell.m_partitions) {
    PartitionRow& row = tables.m_partitions.Get(id);
    // A stable owner keeps the partition; the grant is renewed under the new
    // control epoch.
    if (row.m_phase == MovePhase::kGranting && row.m_owner.IsValid()) {
      row.m_phase = MovePhase::kStable;
    }
  }
  ResetRights(tables, cell, now);
  cell.m_routes_dirty = true;
}

void ReconcilePartitions(ControlTables& tables,
                         CellId cell_id,
                         CellRow& cell,
                         TimePoint now) {
  const auto configured = ConfiguredPartitions(cell.m_service);
  const bool is_first = cell.m_partitions.empty();
  for (const auto& [number, pinned_to] : configured) {
    PartitionId& id = cell.m_partitions[number];
    if (!id.IsValid()) {
      PartitionRow row;
      row.m_cell = cell_id;
      row.m_number = number;
      id = tables.m_partitions.Insert(row);
      if (!is_first && !pinned_to.empty()) {
        BeginPin(tables, cell, id, now);
      }
    }
    tables.m_partitions.Get(id).m_pinned_to = pinned_to;
  }
  for (const auto& [number, id] : cell.m_partitions) {
    PartitionRow& row = tables.m_partitions.Get(id);
    if (!configured.contains(number) && MayStartMove(row)) {
      RetirePin(tables, cell, id, now);
    }
  }
  cell.m_routed_service = cell.m_service;
}

size_t ApplyAssignment(ControlTables& tables,
                       CellRow& cell,
                       const AssignmentRecord& record) {
  size_t moves = 0;
  for (const PartitionOwner& owner : record.m_owners) {
    const auto found = cell.m_partitions.find(owner.m_number);
    if (found == cell.m_partitions.end()) {
      continue;
    }
    PartitionRow& row = tables.m_partitions.Get(found->second);
    row.m_previous_owner_recorded = !owner.m_previous.empty();
    if (owner.m_epoch <= row.m_epoch) {
      continue;
    }
    const auto server = cell.m_servers.find(owner.m_server);
    row.m_previous_owner = row.m_owner;
    row.m_owner =
        server == cell.m_servers.end() ? BackendServerId() : server->second;
    row.m_epoch = owner.m_epoch;
    row.m_target = {};
    row.m_phase = MovePhase::kReleasing;
    row.m_paused_in_routes_version = cell.m_routes_version + 1;
    cell.m_routes_dirty = true;
    ++moves;
  }
  return moves;
}

}  // namespace foxtail
