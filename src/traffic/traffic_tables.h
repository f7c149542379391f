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
#include "traffic/dedup_registry.h"
#include "traffic/queue_strategy.h"

namespace foxtail {

struct DispatchServerRow;
struct InFlightRow;
struct TrafficCellRow;
using DispatchServerId = TypedId<DispatchServerRow>;
using InFlightId = TypedId<InFlightRow>;
using TrafficCellId = TypedId<TrafficCellRow>;

/// A request that was sent to a backend server and may still be executing
/// there.
struct InFlightRow {
  DispatchServerId m_server;
  PartitionNumber m_partition = 0;
  uint64_t m_epoch = 0;
  uint64_t m_fingerprint = 0;

  /// The server does not execute the request after this time.
  TimePoint m_may_run_until;

  /// No response can arrive any more; the row stays until `m_may_run_until`.
  bool m_outcome_unknown = false;
};

/// A backend server that this thread dispatches to or has dispatched to.
struct DispatchServerRow {
  TrafficCellId m_cell;
  std::string m_name;

  /// End of the dispatch lease; requests may be sent before this time.
  TimePoint m_lease_until;
  std::unique_ptr<QueueStrategy> m_queue;
  std::unique_ptr<ConcurrencyLimit> m_limit;

  /// Crash suspects, which run alone. They alternate with the requests of
  /// `m_queue`.
  FifoQueue m_suspect_queue;
  bool m_suspect_turn = false;

  /// Requests that occupy a slot.
  uint32_t m_running = 0;

  /// A crash suspect is running, so no other request may be sent.
  bool m_exclusive = false;

  /// Responses and lost connections since the last report to the controller.
  uint64_t m_responses = 0;
  uint32_t m_lost_connections = 0;
};

/// Deduplication of one owned partition, and the server that owns it.
struct PartitionDedup {
  DispatchServerId m_server;
  DedupRegistry m_registry;
};

/// State of one service's cell at one traffic thread.
struct TrafficCellRow {
  std::string m_name;
  std::shared_ptr<const CellRoutes> m_routes;

  /// Newest sync response that was applied.
  uint64_t m_control_epoch = 0;
  uint64_t m_applied_number = 0;
  uint64_t m_config_version = 0;
  std::map<std::string, DispatchServerId> m_servers;

  /// Deduplication of the partitions that this thread currently dispatches.
  std::map<PartitionNumber, PartitionDedup> m_dedup_registries;

  /// Deduplication state of released partitions, kept until the controller has
  /// acknowledged a report that contains it.
  std::map<PartitionNumber, PartitionDedupState> m_dedup_states;

  /// Crash suspects by fingerprint, and quarantined fingerprints.
  std::map<uint64_t, CrashSuspect> m_suspects;
  std::unordered_set<uint64_t> m_quarantined;

  /// Crash reports since the last sync request.
  std::vector<CrashSuspect> m_new_suspects;

  /// Admitted requests by partition since the last sync request.
  std::unordered_map<PartitionNumber, uint32_t> m_loads;
};

/// All tables of one traffic thread.
struct TrafficTables {
  Table<TrafficCellRow> m_cells;
  Table<DispatchServerRow> m_servers;
  Table<InFlightRow> m_in_flight;
};

/// Returns the route of a partition, or null if there is none.
const RoutePartition* FindPartition(const CellRoutes& routes,
                                    PartitionNumber number);

/// Returns the cell with this name, or an invalid id.
TrafficCellId FindCell(const TrafficTables& tables, const std::string& name);

}  // namespace foxtail
