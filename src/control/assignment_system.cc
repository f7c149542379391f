#include "control/assignment_system.h"

#include <algorithm>

#include "control/partition_moves.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay{50};

RowKey AssignmentKey(const CellRow& cell) {
  return {"assignment", cell.m_name};
}

// Handles one cell's assignment row in one tick.
class CellAssignment {
 public:
  CellAssignment(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_now(context.m_now.m_steady),
        m_cell_id(id),
        m_cell(cell),
        m_state(cell.m_assignment) {}

  void OnRead(const RowResponse& response) {
    m_state.m_store_call_in_flight = false;
    if (response.m_result.m_outcome == RowOutcome::kNoResponse) {
      m_state.m_next_store_call_at = m_now + kRetryDelay;
      return;
    }
    const auto* record =
        std::get_if<AssignmentRecord>(&response.m_result.m_value);
    m_state.m_row_version = record ? response.m_result.m_version : 0;
    m_state.m_record = record ? *record : AssignmentRecord();
    m_state.m_write_outcome_unknown = false;
    if (m_state.m_phase == AssignmentPhase::kUnread) {
      m_state.m_phase = AssignmentPhase::kUnfenced;
      return;
    }
    const uint64_t epoch = m_cell.m_lease.m_record.m_epoch;
    if (m_state.m_record.m_control_epoch > epoch) {
      // A later controller has written the row; the lease system steps down.
      m_state = AssignmentState();
      return;
    }
    ApplyStoredRecord();
  }

  void OnWritten(const RowResponse& response) {
    m_state.m_store_call_in_flight = false;
    if (response.m_result.m_outcome != RowOutcome::kDone) {
      m_state.m_write_outcome_unknown = true;
      m_state.m_next_store_call_at = m_now + kRetryDelay;
      return;
    }
    m_state.m_row_version = response.m_result.m_version;
    m_state.m_record = m_state.m_pending_record;
    ApplyStoredRecord();
  }

  void Advance() {
    if (!HoldsAuthority(m_cell, m_now) || m_cell.IsAccess()) {
      if (m_cell.IsAccess() && HoldsAuthority(m_cell, m_now)) {
        m_state.m_phase = AssignmentPhase::kReady;
      }
      return;
    }
    if (m_state.m_phase == AssignmentPhase::kReady) {
      ReconcilePartitions(m_tables, m_cell_id, m_cell, m_now);
    }
    if (m_state.m_store_call_in_flight ||
        m_now < m_state.m_next_store_call_at) {
      return;
    }
    if (m_state.m_phase == AssignmentPhase::kUnread ||
        m_state.m_write_outcome_unknown) {
      Read();
      return;
    }
    if (!ConfigIsFresh(m_tables, m_cell)) {
      return;
    }
    if (m_state.m_phase == AssignmentPhase::kUnfenced) {
      AssignmentRecord record = m_state.m_record;
      Write(std::move(record));
      return;
    }
    if (NeedsRecording()) {
      Write(ComposeRecord());
    }
  }

 private:
  void Read() {
    m_state.m_store_call_in_flight = true;
    m_context.m_outbox.m_reads.push_back(
        {RowPurpose::kAssignment, m_cell_id, AssignmentKey(m_cell)});
  }

  void Write(AssignmentRecord record) {
    record.m_control_epoch = m_cell.m_lease.m_record.m_epoch;
    ++record.m_version;
    m_state.m_store_call_in_flight = true;
    m_state.m_dirty = false;
    m_state.m_pending_record = record;
    m_context.m_outbox.m_writes.push_back(
        {RowPurpose::kAssignment, m_cell_id, AssignmentKey(m_cell),
         m_state.m_row_version, std::move(record)});
  }

  // The platform holds `m_record` now, whether or not a write of this process
  // stored it.
  void ApplyStoredRecord() {
    const uint64_t epoch = m_cell.m_lease.m_record.m_epoch;
    if (m_state.m_record.m_control_epoch != epoch) {
      return;
    }
    if (m_state.m_phase == AssignmentPhase::kUnfenced) {
      m_state.m_phase = AssignmentPhase::kReady;
      LoadPartitions(m_tables, m_cell_id, m_cell, m_now);
      return;
    }
    const size_t moves = ApplyAssignment(m_tables, m_cell, m_state.m_record);
    if (moves > 0) {
      m_context.m_outbox.m_events.push_back(
          {EventNumber::kAssignmentRecorded,
           {{"cell", m_cell.m_name},
            {"epoch", epoch},
            {"version", m_state.m_record.m_version},
            {"moves", moves}}});
    }
  }

  bool NeedsRecording() const {
    return m_state.m_dirty ||
           std::ranges::any_of(m_cell.m_partitions, [&](const auto& entry) {
             return m_tables.m_partitions.Get(entry.second).m_phase ==
                    MovePhase::kRecording;
           });
  }

  std::string ServerName(BackendServerId id) const {
    const BackendServerRow* server = m_tables.m_servers.Find(id);
    return server ? server->m_config.m_name : "";
  }

  AssignmentRecord ComposeRecord() const {
    AssignmentRecord record;
    record.m_version = m_state.m_record.m_version;
    for (const auto& [number, id] : m_cell.m_partitions) {
      const PartitionRow& partition = m_tables.m_partitions.Get(id);
      PartitionOwner owner;
      owner.m_number = number;
      if (partition.m_phase == MovePhase::kRecording) {
        owner.m_server =
            partition.m_retiring ? "" : ServerName(partition.m_target);
        owner.m_epoch = partition.m_epoch + 1;
        owner.m_previous = ServerName(partition.m_owner);
      } else {
        owner.m_server = ServerName(partition.m_owner);
        owner.m_epoch = partition.m_epoch;
        owner.m_previous = ServerName(partition.m_previous_owner);
      }
      record.m_owners.push_back(std::move(owner));
    }
    return record;
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  TimePoint m_now;
  CellId m_cell_id;
  CellRow& m_cell;
  AssignmentState& m_state;
};

}  // namespace

void AssignmentSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  for (const RowResponse& response : context.m_inbox.m_row_responses) {
    CellRow* cell = tables.m_cells.Find(response.m_cell);
    if (!cell || response.m_purpose != RowPurpose::kAssignment ||
        !cell->m_assignment.m_store_call_in_flight) {
      continue;
    }
    CellAssignment assignment(context, response.m_cell, *cell);
    if (response.m_is_write) {
      assignment.OnWritten(response);
    } else {
      assignment.OnRead(response);
    }
  }
  tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    CellAssignment(context, id, cell).Advance();
  });
}

}  // namespace foxtail
