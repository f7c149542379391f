#pragma once

#include "control/control_tables.h"

namespace foxtail {

/// Replaces the partition rows of a cell with those of its recorded assignment,
/// and discards the state of its dispatchers and grants that dates from an
/// earlier lease.
void LoadPartitions(ControlTables& tables,
                    CellId cell_id,
                    CellRow& cell,
                    TimePoint now);

/// Adds rows for the partitions that the configuration has and the cell lacks,
/// and starts to retire the pinned keys that the configuration no longer has.
void ReconcilePartitions(ControlTables& tables,
                         CellId cell_id,
                         CellRow& cell,
                         TimePoint now);

/// Applies a record that the platform holds to the partition rows. Returns the
/// number of partitions that changed owner.
size_t ApplyAssignment(ControlTables& tables,
                       CellRow& cell,
                       const AssignmentRecord& record);

/// Starts to move a partition. The next assignment record names the target.
void StartMove(PartitionRow& partition, BackendServerId target, TimePoint now);

/// Returns whether a move of the partition may start now.
bool MayStartMove(const PartitionRow& partition);

/// Returns whether requests for the partition are paused.
bool IsPaused(const PartitionRow& partition);

}  // namespace foxtail
