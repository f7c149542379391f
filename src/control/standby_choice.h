#pragma once

#include <cstddef>
#include <vector>

#include "control/control_tables.h"

namespace foxtail {

/// Returns the rendezvous rank of this process among the live ones for a cell;
/// 0 is the first choice.
size_t RankOf(const ControlTables& tables, const CellRow& cell, TimePoint now);

/// Returns the processes that the lease of a cell should name as standbys,
/// sorted.
std::vector<ControlProcess> ChooseStandbys(const ControlTables& tables,
                                           const CellRow& cell,
                                           TimePoint now);

}  // namespace foxtail
