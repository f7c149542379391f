#include "control/handover_system.h"

#include <algorithm>
#include <array>

namespace foxtail {
namespace {

// One step of a partition's move; each phase has its own.
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
        m_id(id),
        m_partition(partition) {}

  void Advance() {
    using Step = void (PartitionHandover::*)();
    constexpr std::array<Step, 5> kSteps = {
        &PartitionHandover::Nothing, &PartitionHandover::Nothing,
        &PartitionHandover::Release, &PartitionHandover::Revoke,
        &PartitionHandover::Grant,
    };
    (this->*kSteps[static_cast<size_t>(m_partition.m_phase)])();
  }

 private:
  void Nothing() {}

  bool ChecksFence() const { return m_cell.m_service.m_checks_fence; }

  void Release() {
    if (BlockersRemain() || !DispatcherLetGo()) {
      return;
    }
    m_partition.m_blockers.clear();
    m_partition.m_phase = MovePhase::kRevoking;
    NoteGrantDue(m_partition.m_previous);
    Revoke();
  }

  bool BlockersRemain() const {
    return std::ranges::any_of(m_partition.m_blockers, [&](PartitionId id) {
      const PartitionRow* blocker = m_tables.m_partitions.Find(id);
      return blocker && blocker->m_phase != MovePhase::kSettled &&
             blocker->m_phase != MovePhase::kGranting;
    });
  }

  // The previous owner's dispatcher acts on routes without the partition and
  // has nothing in flight for it; or every dispatcher that might not know has
  // lost its lease, and with it the requests it may have sent.
  bool DispatcherLetGo() const {
    const BackendServerRow* server =
        m_tables.m_servers.Find(m_partition.m_previous);
    if (!server) {
      return true;
    }
    const DispatcherRow* dispatcher =
        m_tables.m_dispatchers.Find(server->m_dispatcher);
    if (dispatcher) {
      const bool acknowledged =
          dispatcher->m_control_epoch == m_cell.m_lease.m_record.m_epoch &&
          dispatcher->m_routes_version >= m_partition.m_dropped_at &&
          !dispatcher->m_draining_partitions.contains(m_partition.m_number);
      if (!acknowledged) {
        return false;
      }
    } else if (m_now < server->m_send_bound) {
      return false;
    }
    return ChecksFence() || m_now >= server->m_run_bound;
  }

  void Revoke() {
    const BackendServerRow* server =
        m_tables.m_servers.Find(m_partition.m_previous);
    const bool ended =
        !server || !ChecksFence() || m_now >= server->m_grant_bound ||
        (server->m_grants_known &&
         !server->m_maybe_granted.contains(m_partition.m_number));
    if (!ended) {
      return;
    }
    if (!server && m_partition.m_epoch == 1) {
      NoteFirstOwner();
    }
    m_partition.m_previous = {};
    m_cell.m_assignment.m_dirty = true;
    if (m_partition.m_retiring) {
      m_cell.m_partitions.erase(m_partition.m_number);
      m_tables.m_partitions.Erase(m_id);
      return;
    }
    m_partition.m_phase = MovePhase::kGranting;
    NoteGrantDue(m_partition.m_owner);
    Grant();
  }

  void Grant() {
    const BackendServerRow* server =
        m_tables.m_servers.Find(m_partition.m_owner);
    if (!server || !server->m_dispatcher.IsValid()) {
      return;
    }
    if (ChecksFence()) {
      const auto granted = server->m_granted.find(m_partition.m_number);
      if (granted == server->m_granted.end() ||
          granted->second != m_partition.m_epoch) {
        return;
      }
    }
    m_partition.m_phase = MovePhase::kSettled;
    m_partition.m_settled_at = m_now;
    m_cell.m_changed = true;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_now - m_partition.m_move_started);
    m_context.m_outbox.m_events.push_back({EventNumber::kPartitionMoveFinished,
                                           {{"cell", m_cell.m_name},
                                            {"partition", m_partition.m_number},
                                            {"server", server->m_config.m_name},
                                            {"epoch", m_partition.m_epoch},
                                            {"milliseconds", took.count()}}});
  }

  // A partition that never had an owner has no request ids to be unsure of.
  void NoteFirstOwner() {
    PartitionDedupState memory;
    memory.m_number = m_partition.m_number;
    m_tables.m_dedup_states.Insert(
        {m_partition.m_cell, memory, m_now + m_tables.m_settings.m_retention});
  }

  void NoteGrantDue(BackendServerId id) {
    if (BackendServerRow* server = m_tables.m_servers.Find(id)) {
      server->m_grant_due = true;
    }
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellRow& m_cell;
  PartitionId m_id;
  PartitionRow& m_partition;
};

// Servers that the configuration dropped go once nothing refers to them.
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
                 row.m_previous == entry.second || row.m_target == entry.second;
        });
    if (used || server.m_probe_busy || server.m_grant_busy) {
      return false;
    }
    tables.m_servers.Erase(entry.second);
    cell.m_changed = true;
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
