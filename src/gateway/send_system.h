#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/table.h"
#include "gateway/routing_snapshot.h"
#include "gateway/send_window.h"

namespace foxtail {

struct SendServerRow;
using SendServerId = TypedId<SendServerRow>;

/// Order in which requests wait for a server: by rank, then by arrival.
struct WaitingOrder {
  uint32_t m_rank = 0;
  uint64_t m_ticket = 0;
  auto operator<=>(const WaitingOrder&) const = default;
};

/// A backend server as this daemon's traffic sees it.
struct SendServerRow {
  std::string m_id;
  std::unique_ptr<SendWindow> m_window;
  uint32_t m_in_flight = 0;
  std::set<WaitingOrder> m_waiting;
  std::map<uint32_t, uint32_t> m_waiting_by_rank;

  /// The last load it reported, and when.
  LoadReport m_load;
  TimePoint m_load_at;

  /// Smoothed time of a request at the server, queueing included.
  double m_latency_seconds = 0;

  /// Its connections could not be made: not sent to before this time.
  TimePoint m_down_until;

  /// While cold: the next request may not be sent before this time.
  TimePoint m_next_cold_send;

  /// While its queue is long: the same.
  TimePoint m_next_send;
  TimePoint m_last_used;

  /// Answers to requests that found a free slot since the last report, and
  /// sums of their times and of the slowdown told with them.
  uint32_t m_free_answers = 0;
  double m_free_seconds = 0;
  double m_free_slowdown = 0;
};

/// Decides whether a request may be sent to a server now, must wait, or cannot
/// be served in time. Reads no clock and sends nothing.
class SendSystem {
 public:
  /// Returns the row of a server, made if there is none.
  SendServerId RowOf(const RoutedServer& server, TimePoint now);

  /// Returns how long a request that arrives now would take, by the requests
  /// that go before it and by how long earlier ones took.
  Duration EstimatedTime(SendServerId id,
                         const RoutedServer& server,
                         uint32_t rank,
                         TimePoint now) const;

  /// Returns how long a request needs once it is sent, at least.
  Duration EstimatedService(SendServerId id) const;

  /// Returns whether more requests may wait for the server.
  bool HasRoom(SendServerId id) const;

  /// Returns the request that goes next, if any waits.
  std::optional<WaitingOrder> FirstWaiting(SendServerId id) const;

  /// Begins and ends waiting for a server.
  void StartWaiting(SendServerId id, const WaitingOrder& order);
  void StopWaiting(SendServerId id, const WaitingOrder& order);

  /// Returns whether the waiting request may be sent now: it is first in order,
  /// the window has room, and a cold server may take one more. `retry_at`
  /// receives the time at which to ask again if no answer comes before.
  bool MaySend(SendServerId id,
               const RoutedServer& server,
               const WaitingOrder& order,
               TimePoint now,
               TimePoint& retry_at) const;

  /// A request is sent. `cold_pause` is the time until the next one may be sent
  /// to a cold server by this daemon.
  void OnSent(SendServerId id,
              const RoutedServer& server,
              Duration cold_pause,
              TimePoint now);

  /// A sent request ended; `answered` if the server ran it.
  void OnEnded(SendServerId id,
               const std::optional<LoadReport>& load,
               bool answered,
               Duration latency,
               TimePoint now);

  /// The server refused a request because it is full.
  void OnRefused(SendServerId id);

  /// No connection to the server could be made.
  void OnUnreachable(SendServerId id, TimePoint now);

  /// Returns whether the server could not be reached lately.
  bool IsDown(SendServerId id, TimePoint now) const;

  /// Returns how loaded the server is, in requests for each slot.
  double LoadOf(SendServerId id,
                const RoutedServer& server,
                TimePoint now) const;

  /// Returns how fast servers answered requests that found a free slot, since
  /// the last call.
  std::vector<ServerSpeed> TakeSpeeds();

  /// Forgets servers without requests that were not used lately.
  void Expire(TimePoint now);

  size_t CountInFlight() const;

 private:
  Table<SendServerRow> m_servers;
  std::map<std::string, SendServerId> m_by_id;
};

/// Pause between two requests of one daemon to a cold server, so that all
/// daemons together stay within the server's rate.
Duration ColdPause(double cold_rate, size_t members);

/// Chooses a server of a service without shard keys: least loaded, the own data
/// centre first. Returns null when there is none. `tried` are left out.
const RoutedServer* ChooseServer(const ServiceEndpoints& places,
                                 const std::string& data_centre,
                                 const std::set<std::string>& tried,
                                 SendSystem& system,
                                 TimePoint now);

}  // namespace foxtail
