#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/table.h"
#include "core/time.h"
#include "messages/sync_messages.h"
#include "traffic/concurrency_limit.h"
#include "traffic/queue_strategy.h"
#include "traffic/seen_registry.h"

namespace foxtail {

struct DispatchServerRow;
struct InFlightRow;
struct TrafficCellRow;
using DispatchServerId = TypedId<DispatchServerRow>;
using InFlightId = TypedId<InFlightRow>;
using TrafficCellId = TypedId<TrafficCellRow>;

/// A request sent to a backend server and not yet known to be over there.
struct InFlightRow {
  DispatchServerId m_server;
  PartitionNumber m_partition = 0;
  uint64_t m_epoch = 0;
  uint64_t m_fingerprint = 0;

  /// Nothing of the request runs at the server after this time.
  TimePoint m_over_by;

  /// No answer will come: the row stays until `m_over_by`.
  bool m_lingering = false;
};

/// A backend server that this thread dispatches to, or did until lately.
struct DispatchServerRow {
  TrafficCellId m_cell;
  std::string m_name;

  /// Sending is allowed before this time.
  TimePoint m_lease_until;
  std::unique_ptr<QueueStrategy> m_queue;
  std::unique_ptr<ConcurrencyLimit> m_limit;

  /// Crash suspects, which run alone; they take turns with the others.
  FifoQueue m_suspect_queue;
  bool m_suspect_turn = false;

  /// Requests that occupy a slot.
  uint32_t m_running = 0;

  /// A crash suspect runs, so nothing else may.
  bool m_exclusive = false;

  /// Since the last report to the controller.
  uint64_t m_responses = 0;
  uint32_t m_connection_failures = 0;
};

/// Request ids of a partition in hand, and the server it is in hand for.
struct PartitionIds {
  DispatchServerId m_server;
  SeenRegistry m_registry;
};

/// What a traffic thread knows of one service's cell.
struct TrafficCellRow {
  std::string m_name;
  std::shared_ptr<const CellRoutes> m_routes;

  /// Newest answer acted on.
  uint64_t m_control_epoch = 0;
  uint64_t m_applied_number = 0;
  uint64_t m_config_version = 0;
  std::map<std::string, DispatchServerId> m_servers;

  /// Ids of requests that may not be repeated, per partition in hand.
  std::map<PartitionNumber, PartitionIds> m_accepted;

  /// Memories of partitions let go, until a report with them was answered.
  std::map<PartitionNumber, PartitionDedupState> m_dedup_states;
  std::map<uint64_t, CrashSuspect> m_suspects;
  std::unordered_set<uint64_t> m_quarantined;

  /// Crash reports since the last sync request.
  std::vector<CrashSuspect> m_new_suspects;
  std::unordered_map<PartitionNumber, uint32_t> m_loads;
};

/// All tables of one traffic thread.
struct TrafficTables {
  Table<TrafficCellRow> m_cells;
  Table<DispatchServerRow> m_servers;
  Table<InFlightRow> m_in_flight;
};

/// Returns the route of a partition, or null. Partitions are sorted.
const RoutePartition* FindPartition(const CellRoutes& routes,
                                    PartitionNumber number);

/// Returns the cell with this name, or an invalid id.
TrafficCellId FindCell(const TrafficTables& tables, const std::string& name);

}  // namespace foxtail
