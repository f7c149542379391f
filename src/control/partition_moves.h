#pragma once

#include "control/control_tables.h"

namespace foxtail {

/// Replaces the partition rows of a cell by those of its recorded assignment,
/// and forgets what an earlier lease knew of its servers and dispatchers.
void LoadPartitions(ControlTables& tables,
                    CellId cell_id,
                    CellRow& cell,
                    TimePoint now);

/// Adds rows for partitions that the configuration has and the cell lacks, and
/// starts to retire pinned keys that it no longer has.
void ReconcilePartitions(ControlTables& tables,
                         CellId cell_id,
                         CellRow& cell,
                         TimePoint now);

/// Brings the rows into line with a record that the platform holds; returns how
/// many partitions changed owner.
size_t ApplyAssignment(ControlTables& tables,
                       CellRow& cell,
                       const AssignmentRecord& record);

/// Starts to move a settled partition; the next record will name the target.
void StartMove(PartitionRow& partition, BackendServerId target, TimePoint now);

/// Returns whether a partition may be given a new target now.
bool MayStartMove(const PartitionRow& partition);

/// Returns whether requests for the partition must wait.
bool IsPaused(const PartitionRow& partition);

}  // namespace foxtail
