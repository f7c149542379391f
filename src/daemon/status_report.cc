#include "daemon/status_report.h"

#include <array>

#include "core/error.h"

namespace foxtail {
namespace {

const char* NameOfPhase(LeasePhase phase) {
  constexpr std::array kNames = {"watching", "taking", "holding", "releasing"};
  return kNames.at(static_cast<size_t>(phase));
}

const char* NameOfPhase(MovePhase phase) {
  constexpr std::array kNames = {"settled", "recording", "releasing",
                                 "revoking", "granting"};
  return kNames.at(static_cast<size_t>(phase));
}

Json::Int64 ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::string DispatcherAddress(const ControlTables& tables,
                              const BackendServerRow& server) {
  const DispatcherRow* row = tables.m_dispatchers.Find(server.m_dispatcher);
  return row ? row->m_identity.m_address : "";
}

Json::Value DescribeServers(const ControlTables& tables, const CellRow& cell) {
  Json::Value servers(Json::arrayValue);
  for (const auto& [name, id] : cell.m_servers) {
    const BackendServerRow& server = tables.m_servers.Get(id);
    Json::Value row;
    row["name"] = name;
    row["address"] = server.m_config.m_address;
    row["data_centre"] = server.m_config.m_data_centre;
    row["up"] = server.m_up;
    row["serving"] = server.m_serving;
    row["dispatcher"] = DispatcherAddress(tables, server);
    row["in_flight"] = server.m_in_flight;
    row["queued"] = server.m_queued;
    row["partitions"] = 0;
    for (const auto& [number, partition_id] : cell.m_partitions) {
      if (tables.m_partitions.Get(partition_id).m_owner == id) {
        row["partitions"] = row["partitions"].asInt() + 1;
      }
    }
    servers.append(row);
  }
  return servers;
}

Json::Value DescribePartitions(const ControlTables& tables,
                               const CellRow& cell) {
  Json::Value partitions(Json::arrayValue);
  for (const auto& [number, id] : cell.m_partitions) {
    const PartitionRow& partition = tables.m_partitions.Get(id);
    const BackendServerRow* owner = tables.m_servers.Find(partition.m_owner);
    Json::Value row;
    row["number"] = number;
    row["owner"] = owner ? owner->m_config.m_name : "";
    row["epoch"] = Json::UInt64(partition.m_epoch);
    row["phase"] = NameOfPhase(partition.m_phase);
    row["load"] = partition.m_load;
    partitions.append(row);
  }
  return partitions;
}

Json::Value DescribeDispatchers(const ControlTables& tables,
                                CellId cell_id,
                                TimePoint now) {
  Json::Value dispatchers(Json::arrayValue);
  tables.m_dispatchers.ForEach([&](auto, const DispatcherRow& dispatcher) {
    if (dispatcher.m_cell != cell_id) {
      return;
    }
    Json::Value row;
    row["address"] = dispatcher.m_identity.m_address;
    row["data_centre"] = dispatcher.m_data_centre;
    row["configuration"] = Json::UInt64(dispatcher.m_config_version);
    row["routes"] = Json::UInt64(dispatcher.m_routes_version);
    row["heard_ms_ago"] = ToMilliseconds(now - dispatcher.m_last_sync_at);
    row["leaving"] = dispatcher.m_shutting_down;
    dispatchers.append(row);
  });
  return dispatchers;
}

Json::Value DescribeCell(const ControlTables& tables,
                         CellId id,
                         const CellRow& cell,
                         TimePoint now) {
  Json::Value report;
  report["cell"] = cell.m_name;
  report["phase"] = NameOfPhase(cell.m_lease.m_phase);
  report["holder"] = cell.m_lease.m_record.m_holder.m_address;
  report["epoch"] = Json::UInt64(cell.m_lease.m_record.m_epoch);
  report["holding"] = HoldsAuthority(cell, now);
  if (!HoldsAuthority(cell, now)) {
    return report;
  }
  report["authority_left_ms"] =
      ToMilliseconds(cell.m_lease.m_authority_until - now);
  report["extended"] = cell.m_lease.m_extended;
  report["assignment_version"] =
      Json::UInt64(cell.m_assignment.m_record.m_version);
  report["servers"] = DescribeServers(tables, cell);
  report["partitions"] = DescribePartitions(tables, cell);
  report["dispatchers"] = DescribeDispatchers(tables, id, now);
  return report;
}

}  // namespace

Json::Value BuildStatusReport(const ControlTables& tables, TimePoint now) {
  Json::Value report;
  report["instance"] = tables.m_self.m_incarnation;
  report["address"] = tables.m_self.m_address;
  report["data_centre"] = tables.m_data_centre;
  report["configuration"] = Json::UInt64(tables.m_config.m_version);
  report["peers"] = Json::UInt64(tables.m_peers.size());
  report["cells"] = Json::Value(Json::arrayValue);
  tables.m_cells.ForEach([&](CellId id, const CellRow& cell) {
    report["cells"].append(DescribeCell(tables, id, cell, now));
  });
  return report;
}

Json::Value ExplainKey(const ControlTables& tables,
                       const std::string& service,
                       const std::string& key,
                       TimePoint now) {
  const CellId id = FindCell(tables, service);
  const CellRow* cell = tables.m_cells.Find(id);
  if (!cell) {
    throw Error(ErrorCode::kRouteUnknown, service);
  }
  if (!CanDecide(*cell, now)) {
    throw Error(ErrorCode::kNotController,
                cell->m_lease.m_record.m_holder.m_address);
  }
  const PartitionNumber number = PartitionOfKey(cell->m_routed_service, key);
  const auto found = cell->m_partitions.find(number);
  if (found == cell->m_partitions.end()) {
    throw Error(ErrorCode::kPartitionNotServed, key);
  }
  const PartitionRow& partition = tables.m_partitions.Get(found->second);
  const BackendServerRow* owner = tables.m_servers.Find(partition.m_owner);
  Json::Value report;
  report["service"] = service;
  report["key"] = key;
  report["partition"] = number;
  report["owner"] = owner ? owner->m_config.m_name : "";
  report["epoch"] = Json::UInt64(partition.m_epoch);
  report["phase"] = NameOfPhase(partition.m_phase);
  report["reason"] = partition.m_pinned_to.empty()
                         ? "placed by load over the serving servers"
                         : "pinned to " + partition.m_pinned_to;
  report["since_ms"] = ToMilliseconds(now - partition.m_stable_since);
  report["load"] = partition.m_load;
  report["controller"] = tables.m_self.m_address;
  report["control_epoch"] = Json::UInt64(cell->m_lease.m_record.m_epoch);
  if (owner) {
    report["owner_up"] = owner->m_up;
    report["dispatcher"] = DispatcherAddress(tables, *owner);
  }
  report["entries"] = DescribeDispatchers(tables, id, now);
  return report;
}

}  // namespace foxtail
