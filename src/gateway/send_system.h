#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/table.h"
#include "gateway/rollout_splitter.h"
#include "gateway/routing_snapshot.h"
#include "gateway/send_window.h"

namespace foxtail {

struct SendServerRow;
using SendServerId = TypedId<SendServerRow>;

/// Sort key of a server's queue: by priority (0 first), then by arrival.
struct QueueKey {
  uint32_t m_priority = 0;
  uint64_t m_ticket = 0;
  auto operator<=>(const QueueKey&) const = default;
};

/// Send state of one backend server at this gateway.
struct SendServerRow {
  std::string m_id;
  std::unique_ptr<SendWindow> m_window;
  uint32_t m_in_flight = 0;
  std::set<QueueKey> m_queue;
  std::map<uint32_t, uint32_t> m_queued_by_priority;

  /// The server's last load report and the time of its arrival.
  LoadReport m_load;
  TimePoint m_load_received_at;

  /// Smoothed latency of the server's responses, queueing at the server
  /// included.
  double m_latency_seconds = 0;

  /// After a failed connection, the server counts as unreachable until this
  /// time.
  TimePoint m_unreachable_until;

  /// An overloaded server wants no request before this time.
  TimePoint m_paused_until;

  /// When a response first told that the server is leaving, and the incarnation
  /// that told so; unset if none did.
  std::optional<TimePoint> m_leaving_since;
  int64_t m_leaving_incarnation = 0;

  /// Earliest time of the next request; set while the window is below one.
  TimePoint m_next_send_at;
  TimePoint m_last_used_at;

  /// Number of responses since the last report to requests that did not queue
  /// at the server, and the sums of their latencies and reported slowdowns.
  uint32_t m_unqueued_responses = 0;
  double m_unqueued_seconds_sum = 0;
  double m_unqueued_slowdown_sum = 0;
};

/// Decides whether a request to a server is sent now, waits, or cannot be
/// served in time. Reads no clock and performs no I/O.
class SendSystem {
 public:
  /// Returns the row of a server; inserts one if there is none.
  SendServerId GetOrInsert(const RoutedServer& server, TimePoint now);

  /// Returns the estimated time until the response to a request that arrives
  /// now, from the requests queued before it and from past latencies.
  Duration EstimateTotalTime(SendServerId id,
                             uint32_t priority,
                             TimePoint now) const;

  /// Returns the estimated minimum time between sending a request and its
  /// response.
  Duration EstimateServiceTime(SendServerId id) const;

  /// Returns whether the server's queue accepts another request.
  bool HasQueueSpace(SendServerId id) const;

  /// Returns the first request of the queue, or nothing if the queue is empty.
  std::optional<QueueKey> GetQueueHead(SendServerId id) const;

  /// Adds a request to a server's queue or removes it.
  void Enqueue(SendServerId id, const QueueKey& key);
  void Dequeue(SendServerId id, const QueueKey& key);

  /// Returns whether a queued request may be sent now: it is first in the queue
  /// and the window has room. If not, `retry_at` receives the time at which to
  /// check again, or `TimePoint::max()` if only a queue change or a response
  /// can help.
  bool CanSend(SendServerId id,
               const QueueKey& key,
               TimePoint now,
               TimePoint& retry_at) const;

  /// Records that a request is sent.
  void OnSent(SendServerId id);

  /// Records the end of a sent request. `executed` tells whether the server ran
  /// the request, `latency` how long the attempt took.
  void OnCompleted(SendServerId id,
                   const std::optional<LoadReport>& load,
                   bool executed,
                   Duration latency,
                   TimePoint now);

  /// Records that the server refused a request because it was full.
  void OnRefused(SendServerId id);

  /// Records that an overloaded server wants no request until a time.
  void OnPauseRequested(SendServerId id, TimePoint until);

  /// Returns when the server takes requests again; in the past if it does now.
  TimePoint PauseEnd(SendServerId id) const;

  /// Records that a response told that the server is leaving. Returns whether
  /// that is news.
  bool OnLeaving(SendServerId id, const RoutedServer& server, TimePoint now);

  /// Returns since when the server has been known to leave, or nothing.
  std::optional<TimePoint> LeavingSince(SendServerId id,
                                        const RoutedServer& server) const;

  /// Records that no connection to the server could be made.
  void OnUnreachable(SendServerId id, TimePoint now);

  /// Returns whether a connection to the server failed recently.
  bool IsUnreachable(SendServerId id, TimePoint now) const;

  /// Returns the load of the server in requests for each slot.
  double GetRelativeLoad(SendServerId id,
                         const RoutedServer& server,
                         TimePoint now) const;

  /// Returns, for each server, the mean latency and slowdown of requests that
  /// did not queue at the server, and resets the measurement.
  std::vector<ServerSpeed> CollectSpeeds();

  /// Erases the rows of servers without requests that were not used recently.
  void Expire(TimePoint now);

  size_t CountInFlight() const;

 private:
  Table<SendServerRow> m_servers;
  std::map<std::string, SendServerId> m_by_id;
};

/// Returns when the first of the eligible servers that have asked for a pause
/// takes requests again, or nothing if there is none.
std::optional<TimePoint> FindPauseEnd(const ServiceEndpoints& endpoints,
                                      SendSystem& system,
                                      TimePoint now,
                                      const VersionChoice& versions = {});

/// Returns whether requests that any server can run may be sent to one of the
/// service's servers now: it is eligible, is not leaving, has not asked for a
/// pause and is allowed by `versions`.
bool HasUsableServer(const ServiceEndpoints& endpoints,
                     SendSystem& system,
                     TimePoint now,
                     const VersionChoice& versions = {});

/// Chooses the least loaded usable server of a service without shard keys, as
/// defined by `HasUsableServer`, with a preference for `data_centre`. Skips
/// `tried_servers`. Returns null if no server is left.
const RoutedServer* ChooseServer(const ServiceEndpoints& endpoints,
                                 const std::string& data_centre,
                                 const std::set<std::string>& tried_servers,
                                 SendSystem& system,
                                 TimePoint now,
                                 const VersionChoice& versions = {});

}  // namespace foxtail
