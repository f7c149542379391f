#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "traffic/request_id.h"
#include "traffic/traffic_tables.h"

namespace foxtail {

/// Makes the strategy objects of a dispatched server.
struct DispatchStrategies {
  std::function<std::unique_ptr<QueueStrategy>()> m_queue;
  std::function<std::unique_ptr<ConcurrencyLimit>()> m_limit;
};

/// Settings of the dispatch decisions.
struct DispatchSettings {
  /// How long request ids are remembered.
  std::chrono::milliseconds m_retention{60'000};

  /// How far ahead of this host's wall clock a request id may be issued.
  std::chrono::milliseconds m_id_ahead{250};

  /// Largest difference between two hosts' wall clocks.
  std::chrono::milliseconds m_wall_skew{50};
};

/// A request as the dispatch decisions see it.
struct DispatchQuery {
  std::string m_cell;
  PartitionNumber m_partition = 0;
  std::string m_workspace;
  uint32_t m_weight = 1;
  RequestId m_id;
  bool m_idempotent = false;

  /// The entry made the id itself and never sent it before, so no dispatcher
  /// can have seen it.
  bool m_fresh = false;

  /// Hash of method, target and body.
  uint64_t m_fingerprint = 0;
  TimePoint m_deadline;
};

/// How a request to a backend server ended, as far as it can be told.
enum class SendOutcome {
  /// A whole answer arrived.
  kAnswered,
  /// The server said that it did not run the request.
  kRefused,
  /// No byte of the request left.
  kNotSent,
  /// The connection broke after the request may have left.
  kLost,
  /// No answer within the deadline; the server gives up by itself.
  kTimedOut,
};

/// The dispatch decisions of one traffic thread: which requests may be sent to
/// which backend server, in which order, and what the outcomes mean. It sends
/// nothing itself.
class DispatchSystem {
 public:
  DispatchSystem(const DispatchSettings& settings,
                 DispatchStrategies strategies);

  /// Acts on an answer to a sync request that was sent at `sent`. Answers that
  /// were overtaken or arrive after their authority ended are ignored. Returns
  /// whether anything changed.
  bool Apply(const std::string& cell,
             const SyncResponse& response,
             TimePoint sent,
             const Now& now);

  /// Builds the report for the next sync request of a cell. Observations and
  /// loads are taken; memories stay until `OnReportAnswered`.
  void FillReport(const std::string& cell,
                  SyncRequest& request,
                  const Now& now);

  /// The report was answered, so its memories need no repetition.
  void OnReportAnswered(const SyncRequest& request);

  /// The report was not answered: its suspects must be reported again.
  void OnReportLost(const SyncRequest& request);

  /// Admits a request to the queue of its server. Throws `kNotDispatcher`,
  /// `kRequestQuarantined`, `kRequestDuplicate`, `kRequestUnverifiable` or
  /// `kServerQueueFull`. The caller must end it with `Abandon` or `Begin`.
  DispatchServerId Admit(const DispatchQuery& query,
                         TicketNumber ticket,
                         const Now& now);

  /// Removes a request that no longer waits for a slot; it did not run.
  void Abandon(const DispatchQuery& query,
               DispatchServerId server,
               TicketNumber ticket);

  /// A slot of a backend server for a waiting request.
  struct Slot {
    TicketNumber m_ticket = 0;

    /// The request must be the only one at the server.
    bool m_solo = false;
  };

  /// Returns the next waiting request that may occupy a slot now, if any. The
  /// slot is taken.
  std::optional<Slot> TakeSlot(DispatchServerId server);

  /// Gives a taken slot back without having sent anything.
  void GiveSlot(DispatchServerId server);

  /// Returns whether the request may be sent at this moment; the last check
  /// before its first byte.
  bool MaySend(const DispatchQuery& query,
               DispatchServerId server,
               TimePoint now) const;

  /// Notes that a request is sent, which holds its slot.
  InFlightId Begin(const DispatchQuery& query, DispatchServerId server);

  /// Notes how a sent request ended and frees its slot. Returns whether the
  /// controller waits for it because its partition is being let go.
  bool End(const DispatchQuery& query,
           InFlightId in_flight,
           SendOutcome outcome,
           const std::string& server_instance,
           Duration latency,
           TimePoint now);

  /// Returns the route of a query's server: address, slots and epoch.
  struct Target {
    std::string m_address;
    uint64_t m_epoch = 0;
  };
  std::optional<Target> TargetOf(const DispatchQuery& query) const;

  /// Drops requests that are surely over and old ids. Returns whether a drain
  /// came to its end.
  bool Expire(const Now& now);

  TrafficTables& GetTables() { return m_tables; }
  const TrafficTables& GetTables() const { return m_tables; }

 private:
  const RoutePartition* SendablePartition(const TrafficCellRow& cell,
                                          PartitionNumber number,
                                          const std::string& server) const;
  DispatchServerId ServerOf(const TrafficCellRow& cell,
                            PartitionNumber number) const;
  void ApplyRoutes(TrafficCellRow& cell, const SyncResponse& response);
  void ApplyLeases(TrafficCellId id,
                   TrafficCellRow& cell,
                   const SyncResponse& response,
                   TimePoint sent);
  void AlignMemories(TrafficCellRow& cell,
                     const SyncResponse& response,
                     const Now& now);
  uint32_t SlotsOf(const DispatchServerRow& server) const;
  void DropLapsedIds(TrafficCellRow& cell, TimePoint now);
  void NoteCrash(const InFlightRow& crashed, bool solo);
  void NoteCleared(const InFlightRow& answered);
  bool IsDraining(const InFlightRow& row) const;

  DispatchSettings m_settings;
  DispatchStrategies m_strategies;
  TrafficTables m_tables;
};

}  // namespace foxtail
