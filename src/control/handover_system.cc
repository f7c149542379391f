#include "control/handover_system.h"

#include <algorithm>
#include <array>

namespace foxtail {
namespace {

// Advances a partition's move; each phase has its own step.
class PartitionHandover {
 public:
  PartitionHandover(ControlContext& context,
                    CellRow& cell,
                    PartitionId id,
                    PartitionRow& partition)
      : m_context(context),
        m_tables(context.m_tables),
        m_now(context.m_now.m_steady),
        m_cell(cell),
        m_partition_id(id),
        m_partition(partition) {}

  void Advance() {
    using Step = void (PartitionHandover::*)();
    constexpr std::array<Step, 5> kSteps = {
        &PartitionHandover::DoNothing, &PartitionHandover::DoNothing,
        &PartitionHandover::Release,   &PartitionHandover::Revoke,
        &PartitionHandover::Grant,
    };
    (this->*kSteps[static_cast<size_t>(m_partition.m_phase)])();
  }

 private:
  void DoNothing() {}

  bool ChecksFence() const { return m_cell.m_service.m_checks_fence; }

  void Release() {
    if (BlockersRemain() || !DispatcherReleased()) {
      return;
    }
    m_partition.m_blockers.clear();
    m_partition.m_phase = MovePhase::kRevoking;
    MarkGrantDue(m_partition.m_previous_owner);
    Revoke();
  }

  bool BlockersRemain() const {
    return std::ranges::any_of(m_partition.m_blockers, [&](PartitionId id) {
      const PartitionRow* blocker = m_tables.m_partitions.Find(id);
      return blocker && blocker->m_phase != MovePhase::kStable &&
             blocker->m_phase != MovePhase::kGranting;
    });
  }

  // Returns whether no dispatcher sends requests for the partition to the
  // previous owner. Either the previous owner's dispatcher has acknowledged
  // routes in which the partition is paused or absent and has no request for
  // the partition in flight, or the leases of all dispatchers that might not
  // have these routes have expired. Without a fence check, requests that an
  // expired dispatcher sent must have ended, too.
  bool DispatcherReleased() const {
    const BackendServerRow* server =
        m_tables.m_servers.Find(m_partition.m_previous_owner);
    if (!server) {
      return true;
    }
    const DispatcherRow* dispatcher =
        m_tables.m_dispatchers.Find(server->m_dispatcher);
    if (dispatcher) {
      const bool acknowledged =
          dispatcher->m_control_epoch == m_cell.m_lease.m_record.m_epoch &&
          dispatcher->m_routes_version >=
              m_partition.m_paused_in_routes_version &&
          !dispatcher->m_draining_partitions.contains(m_partition.m_number);
      if (!acknowledged) {
        return false;
      }
    } else if (m_now < server->m_may_send_until) {
      return false;
    }
    return ChecksFence() || m_now >= server->m_may_run_until;
  }

  void Revoke() {
    const BackendServerRow* server =
        m_tables.m_servers.Find(m_partition.m_previous_owner);
    const bool grant_ended =
        !server || !ChecksFence() || m_now >= server->m_grants_valid_until ||
        (server->m_possible_grants_known &&
         !server->m_possible_grants.contains(m_partition.m_number));
    if (!grant_ended) {
      return;
    }
    if (!server && m_partition.m_epoch == 1) {
      AddEmptyDedupState();
    }
    m_partition.m_previous_owner = {};
    m_cell.m_assignment.m_dirty = true;
    if (m_partition.m_retiring) {
      m_cell.m_partitions.erase(m_partition.m_number);
      m_tables.m_partitions.Erase(m_partition_id);
      return;
    }
    m_partition.m_phase = MovePhase::kGranting;
    MarkGrantDue(m_partition.m_owner);
    Grant();
  }

  void Grant() {
    const BackendServerRow* server =
        m_tables.m_servers.Find(m_partition.m_owner);
    if (!server || !server->m_dispatcher.IsValid()) {
      return;
    }
    if (ChecksFence()) {
      const auto granted =
          server->m_confirmed_grants.find(m_partition.m_number);
      if (granted == server->m_confirmed_grants.end() ||
          granted->second != m_partition.m_epoch) {
        return;
      }
    }
    m_partition.m_phase = MovePhase::kStable;
    m_partition.m_stable_since = m_now;
    m_cell.m_routes_dirty = true;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_now - m_partition.m_move_started_at);
    m_context.m_outbox.m_events.push_back(
        {EventNumber::kPartitionMoveFinished,
         {{"cell", m_cell.m_name},
          {"partition", m_partition.m_number},
          {"server", server->m_config.m_name},
          {"epoch", m_partition.m_epoch},
          {"milliseconds", elapsed.count()}}});
  }

  // A partition that never had an owner has accepted no requests, so its
  // deduplication state is empty and complete.
  void AddEmptyDedupState() {
    PartitionDedupState dedup_state;
    dedup_state.m_number = m_partition.m_number;
    m_tables.m_dedup_states.Insert({m_partition.m_cell, dedup_state,
                                    m_now + m_tables.m_settings.m_retention});
  }

  void MarkGrantDue(BackendServerId id) {
    if (BackendServerRow* server = m_tables.m_servers.Find(id)) {
      server->m_grant_due = true;
    }
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellRow& m_cell;
  PartitionId m_partition_id;
  PartitionRow& m_partition;
};

// Erases servers that the configuration no longer has once no partition refers
// to them and no call to them is in flight.
void EraseUnusedServers(ControlTables& tables, CellRow& cell) {
  std::erase_if(cell.m_servers, [&](const auto& entry) {
    const BackendServerRow& server = tables.m_servers.Get(entry.second);
    if (!server.m_removed) {
      return false;
    }
    const bool used =
        std::ranges::any_of(cell.m_partitions, [&](const auto& partition) {
          const PartitionRow& row = tables.m_partitions.Get(partition.second);
          return row.m_owner == entry.second ||
                 row.m_previous_owner == entry.second ||
                 row.m_target == entry.second;
        });
    if (used || server.m_probe_in_flight || server.m_grant_in_flight) {
      return false;
    }
    tables.m_servers.Erase(entry.second);
    cell.m_routes_dirty = true;
    return true;
  });
}

}  // namespace

void HandoverSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  tables.m_partitions.ForEach([&](PartitionId id, PartitionRow& partition) {
    CellRow& cell = tables.m_cells.Get(partition.m_cell);
    if (CanDecide(cell, context.m_now.m_steady)) {
      PartitionHandover(context, cell, id, partition).Advance();
    }
  });
  tables.m_cells.ForEach([&](CellId, CellRow& cell) {
    if (CanDecide(cell, context.m_now.m_steady)) {
      EraseUnusedServers(tables, cell);
    }
  });
}

}  // namespace foxtail
