#include "traffic/traffic_tables.h"

#include <algorithm>

namespace foxtail {

const RoutePartition* FindPartition(const CellRoutes& routes,
                                    PartitionNumber number) {
  const auto found = std::ranges::lower_bound(routes.m_partitions, number, {},
                                              &RoutePartition::m_number);
  if (found == routes.m_partitions.end() || found->m_number != number) {
    return nullptr;
  }
  return &*found;
}

TrafficCellId FindCell(const TrafficTables& tables, const std::string& name) {
  return tables.m_cells.FindIf(
      [&](const TrafficCellRow& row) { return row.m_name == name; });
}

}  // namespace foxtail
