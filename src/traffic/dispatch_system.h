#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "traffic/request_id.h"
#include "traffic/traffic_tables.h"

namespace foxtail {

/// Factories of the strategy objects of each backend server.
struct DispatchStrategies {
  std::function<std::unique_ptr<QueueStrategy>()> m_queue;
  std::function<std::unique_ptr<ConcurrencyLimit>()> m_limit;
};

/// Settings of the dispatch decisions.
struct DispatchSettings {
  /// How long request ids are kept for deduplication.
  std::chrono::milliseconds m_id_retention{60'000};

  /// Maximum time by which a request id may be ahead of this host's wall clock.
  std::chrono::milliseconds m_max_id_lead{250};

  /// Maximum difference between the wall clocks of two hosts.
  std::chrono::milliseconds m_max_wall_skew{50};
};

/// The properties of a request that the dispatch decisions depend on.
struct DispatchQuery {
  std::string m_cell;
  PartitionNumber m_partition = 0;
  std::string m_workspace;
  uint32_t m_weight = 1;
  RequestId m_id;
  bool m_idempotent = false;

  /// The entry created the id itself and has not sent it before, so no
  /// dispatcher can have accepted it.
  bool m_fresh = false;

  /// Hash of method, target and body.
  uint64_t m_fingerprint = 0;
  TimePoint m_deadline;
};

/// How a request to a backend server ended, as observed by the dispatcher.
enum class SendOutcome {
  /// A complete response arrived.
  kResponded,
  /// The server reported that it did not execute the request.
  kRefused,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection broke after some of the request may have been sent.
  kConnectionLost,
  /// No response arrived within the deadline; the server stops on its own.
  kTimedOut,
};

/// Makes the dispatch decisions of one traffic thread: which requests may be
/// sent to which backend server, in which order, and how outcomes change the
/// state. The system performs no I/O; `Dispatcher` sends the requests.
class DispatchSystem {
 public:
  DispatchSystem(const DispatchSettings& settings,
                 DispatchStrategies strategies);

  /// Applies the response to a sync request that was sent at `sent_at`.
  /// Responses that are older than the applied one, or that arrive after their
  /// authority ended, are ignored. Returns whether the response was applied.
  bool Apply(const std::string& cell,
             const SyncResponse& response,
             TimePoint sent_at,
             const Now& now);

  /// Fills in the report of the next sync request of a cell. Observations and
  /// loads are reset; deduplication states stay until `OnReportAcknowledged`.
  void FillReport(const std::string& cell,
                  SyncRequest& request,
                  const Now& now);

  /// Drops the deduplication states that the controller has now received.
  void OnReportAcknowledged(const SyncRequest& request);

  /// Queues the crash suspects of a report without a response to be reported
  /// again.
  void OnReportLost(const SyncRequest& request);

  /// Admits a request to the queue of its server. Throws `kNotDispatcher`,
  /// `kRequestQuarantined`, `kRequestDuplicate`, `kRequestUnverifiable` or
  /// `kServerQueueFull`. The caller must follow up with `Abandon` or `Begin`.
  DispatchServerId Admit(const DispatchQuery& query,
                         TicketNumber ticket,
                         const Now& now);

  /// Removes a request that was not executed from the queue and from the
  /// deduplication state.
  void Abandon(const DispatchQuery& query,
               DispatchServerId server,
               TicketNumber ticket);

  /// A slot of a backend server for a waiting request.
  struct Slot {
    TicketNumber m_ticket = 0;

    /// The request must run alone at the server.
    bool m_solo = false;
  };

  /// Acquires a slot for the next waiting request that may run now, if any.
  std::optional<Slot> AcquireSlot(DispatchServerId server);

  /// Releases an acquired slot.
  void ReleaseSlot(DispatchServerId server);

  /// Returns whether the request may be sent at `now`; the final check before
  /// its first byte is sent.
  bool MaySend(const DispatchQuery& query,
               DispatchServerId server,
               TimePoint now) const;

  /// Records that a request is being sent. The request keeps its slot.
  InFlightId Begin(const DispatchQuery& query, DispatchServerId server);

  /// Records the outcome of a sent request and releases its slot. Returns
  /// whether the request was draining, so that the controller waits for a
  /// report.
  bool End(const DispatchQuery& query,
           InFlightId in_flight,
           SendOutcome outcome,
           const std::string& server_incarnation,
           Duration latency,
           TimePoint now);

  /// The server address and the epoch of a partition.
  struct Target {
    std::string m_address;
    uint64_t m_epoch = 0;
  };

  /// Returns where to send a request, if its partition has a route.
  std::optional<Target> TargetOf(const DispatchQuery& query) const;

  /// Removes requests that can no longer be executing, and expired ids. Returns
  /// whether a draining request was among them.
  bool Expire(const Now& now);

  TrafficTables& GetTables() { return m_tables; }
  const TrafficTables& GetTables() const { return m_tables; }

 private:
  const RoutePartition* FindSendablePartition(const TrafficCellRow& cell,
                                              PartitionNumber number,
                                              const std::string& server) const;
  DispatchServerId FindServer(const TrafficCellRow& cell,
                              PartitionNumber number) const;
  void ApplyRoutes(TrafficCellRow& cell, const SyncResponse& response);
  void ApplyLeases(TrafficCellId id,
                   TrafficCellRow& cell,
                   const SyncResponse& response,
                   TimePoint sent_at);
  void UpdateDedupRegistries(TrafficCellRow& cell,
                             const SyncResponse& response,
                             const Now& now);
  uint32_t SlotsOf(const DispatchServerRow& server) const;
  void DropUnleasedRegistries(TrafficCellRow& cell, TimePoint now);
  void RecordCrash(const InFlightRow& row, bool solo);
  void RecordCleared(const InFlightRow& row);
  bool IsDraining(const InFlightRow& row) const;

  DispatchSettings m_settings;
  DispatchStrategies m_strategies;
  TrafficTables m_tables;
};

}  // namespace foxtail
