#include "control/partition_moves.h"

#include <algorithm>

namespace foxtail {
namespace {

// A server that the record names and the configuration lacks keeps a row until
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

// Nothing is known of what an earlier controller's dispatchers and grants still
// allow, except when it ends.
void ForgetRights(ControlTables& tables, CellRow& cell, TimePoint now) {
  const ControlSettings& settings = tables.m_settings;
  const Duration lease = WithDrift(settings, settings.m_dispatch_excess);
  const TimePoint end = cell.m_predecessor_end;
  const Duration grant = WithDrift(settings, settings.m_grant);
  for (const auto& [name, id] : cell.m_servers) {
    BackendServerRow& server = tables.m_servers.Get(id);
    server.m_dispatcher = {};
    server.m_dispatcher_leaving = false;
    server.m_send_bound = end + lease;
    server.m_run_bound =
        now + lease + cell.m_service.m_max_deadline + settings.m_wall_skew;
    server.m_grants_known = false;
    server.m_granted.clear();
    server.m_maybe_granted.clear();
    server.m_granting.clear();
    server.m_grant_busy = false;
    server.m_grant_due = true;
    server.m_next_grant = now;
    server.m_grant_bound = end + grant + 2 * settings.m_wall_skew;
  }
}

template <typename Row>
void EraseOfCell(Table<Row>& table, CellId cell_id) {
  table.ForEach([&](auto id, const Row& row) {
    if (row.m_cell == cell_id) {
      table.Erase(id);
    }
  });
}

std::map<PartitionNumber, std::string> WantedPartitions(
    const ServiceConfig& service) {
  std::map<PartitionNumber, std::string> wanted;
  for (PartitionNumber i = 0; i < service.m_partitions; ++i) {
    wanted.emplace(i, "");
  }
  for (const PinnedKeyConfig& pin : service.m_pinned_keys) {
    wanted.emplace(PartitionOfPin(pin.m_key), pin.m_server);
  }
  return wanted;
}

// While a pinned key leaves or joins its hash range, the range passes through a
// move to its own owner, so that the key's old right ends before the new one
// begins. `blocker` is the pin that must end first, if any.
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
  return !partition.m_retiring && (partition.m_phase == MovePhase::kSettled ||
                                   partition.m_phase == MovePhase::kGranting);
}

bool IsHeld(const PartitionRow& partition) {
  if (partition.m_phase == MovePhase::kRecording) {
    return !partition.m_blockers.empty();
  }
  return partition.m_phase != MovePhase::kSettled;
}

void StartMove(PartitionRow& partition, BackendServerId target, TimePoint now) {
  partition.m_phase = MovePhase::kRecording;
  partition.m_target = target;
  partition.m_move_started = now;
}

void LoadPartitions(ControlTables& tables,
                    CellId cell_id,
                    CellRow& cell,
                    TimePoint now) {
  EraseOfCell(tables.m_partitions, cell_id);
  EraseOfCell(tables.m_dispatchers, cell_id);
  EraseOfCell(tables.m_dedup_states, cell_id);
  cell.m_partitions.clear();
  for (const PartitionOwner& owner : cell.m_assignment.m_record.m_owners) {
    PartitionRow row;
    row.m_cell = cell_id;
    row.m_number = owner.m_number;
    row.m_owner = FindOrAddServer(tables, cell_id, cell, owner.m_server);
    row.m_epoch = owner.m_epoch;
    row.m_previous = FindOrAddServer(tables, cell_id, cell, owner.m_previous);
    row.m_retiring = owner.m_server.empty();
    row.m_previous_recorded = !owner.m_previous.empty();
    row.m_move_started = now;
    row.m_dropped_at = 1;
    row.m_phase =
        row.m_previous_recorded ? MovePhase::kReleasing : MovePhase::kGranting;
    cell.m_partitions[row.m_number] = tables.m_partitions.Insert(row);
  }
  for (const auto& [number, id] : cell.m_partitions) {
    PartitionRow& row = tables.m_partitions.Get(id);
    // A settled owner goes on; its grant is renewed under the new epoch.
    if (row.m_phase == MovePhase::kGranting && row.m_owner.IsValid()) {
      row.m_phase = MovePhase::kSettled;
    }
  }
  ForgetRights(tables, cell, now);
  cell.m_changed = true;
}

void AlignPartitions(ControlTables& tables,
                     CellId cell_id,
                     CellRow& cell,
                     TimePoint now) {
  const auto wanted = WantedPartitions(cell.m_service);
  const bool first = cell.m_partitions.empty();
  for (const auto& [number, pinned_to] : wanted) {
    PartitionId& id = cell.m_partitions[number];
    if (!id.IsValid()) {
      PartitionRow row;
      row.m_cell = cell_id;
      row.m_number = number;
      id = tables.m_partitions.Insert(row);
      if (!first && !pinned_to.empty()) {
        BeginPin(tables, cell, id, now);
      }
    }
    tables.m_partitions.Get(id).m_pinned_to = pinned_to;
  }
  for (const auto& [number, id] : cell.m_partitions) {
    PartitionRow& row = tables.m_partitions.Get(id);
    if (!wanted.contains(number) && MayStartMove(row)) {
      RetirePin(tables, cell, id, now);
    }
  }
  cell.m_routed_service = cell.m_service;
}

size_t ApplyRecord(ControlTables& tables,
                   CellRow& cell,
                   const AssignmentRecord& record) {
  size_t moves = 0;
  for (const PartitionOwner& owner : record.m_owners) {
    const auto found = cell.m_partitions.find(owner.m_number);
    if (found == cell.m_partitions.end()) {
      continue;
    }
    PartitionRow& row = tables.m_partitions.Get(found->second);
    row.m_previous_recorded = !owner.m_previous.empty();
    if (owner.m_epoch <= row.m_epoch) {
      continue;
    }
    const auto server = cell.m_servers.find(owner.m_server);
    row.m_previous = row.m_owner;
    row.m_owner =
        server == cell.m_servers.end() ? BackendServerId() : server->second;
    row.m_epoch = owner.m_epoch;
    row.m_target = {};
    row.m_phase = MovePhase::kReleasing;
    row.m_dropped_at = cell.m_routes_version + 1;
    cell.m_changed = true;
    ++moves;
  }
  return moves;
}

}  // namespace foxtail
