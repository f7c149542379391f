#pragma once

#include <cstddef>
#include <vector>

#include "control/control_tables.h"

namespace foxtail {

/// Returns the rendezvous rank of this process among the live control processes
/// for a cell; 0 ranks first.
size_t RendezvousRank(const ControlTables& tables,
                      const CellRow& cell,
                      TimePoint now);

/// Returns the processes that the lease of a cell should name as standbys, in
/// ascending order.
std::vector<ControlProcess> ChooseStandbys(const ControlTables& tables,
                                           const CellRow& cell,
                                           TimePoint now);

}  // namespace foxtail
