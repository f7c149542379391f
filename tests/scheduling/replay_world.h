#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/send_system.h"
#include "scheduling/permit_scheduler.h"

namespace foxtail {

/// What a fake server does with a request that finds its queue full, or with
/// any request.
enum class FakeFault { kRefuse, kReset, kNoResponse };

/// A backend server of a replay.
struct FakeServer {
  std::string m_id;
  uint32_t m_slots = 2;
  uint32_t m_queue_limit = 4;
  double m_speed_factor = 1;
  FakeFault m_when_full = FakeFault::kRefuse;

  /// Set if the server fails every request.
  bool m_is_broken = false;
  FakeFault m_when_broken = FakeFault::kNoResponse;

  uint32_t m_running = 0;
  std::deque<size_t> m_waiting;
  uint32_t m_received = 0;
  uint32_t m_served = 0;
  uint32_t m_queued_in_server = 0;
  uint32_t m_refused = 0;
};

/// Requests of one priority.
struct FakeClass {
  uint32_t m_priority = 0;
  double m_rate = 0;
  std::chrono::milliseconds m_target{1000};
  std::chrono::milliseconds m_time_limit{6000};
  std::chrono::milliseconds m_work{360};

  uint32_t m_arrived = 0;
  uint32_t m_in_time = 0;
  uint32_t m_late = 0;
  uint32_t m_refused = 0;

  double InTimeFraction() const { return Fraction(m_in_time); }
  double ServedFraction() const { return Fraction(m_in_time + m_late); }

 private:
  double Fraction(uint32_t count) const {
    return m_arrived == 0 ? 0 : static_cast<double>(count) / m_arrived;
  }
};

/// Replays a load in simulated time: hosts that ask one scheduler, or decide
/// alone as before permits, and servers with slots and queues. Refused clients
/// come back after `Retry-After`.
class ReplayWorld {
 public:
  static constexpr std::chrono::milliseconds kNetwork{2};

  explicit ReplayWorld(bool use_permits = true)
      : m_scheduler(PermitSchedulerSettings()), m_use_permits(use_permits) {}

  void Register() {
    std::vector<SchedulableServer> servers;
    for (const FakeServer& server : m_servers) {
      servers.push_back({server.m_id, 1, "dc", server.m_slots, {}, true});
    }
    m_scheduler.SetServers("svc", servers, m_now);
  }

  /// Runs the load for a time, and then until all requests have ended.
  void Run(std::chrono::seconds duration) {
    Register();
    const TimePoint end = m_now + duration;
    for (size_t i = 0; i < m_classes.size(); ++i) {
      ScheduleArrival(i, end);
    }
    for (uint32_t host = 0; host < m_hosts; ++host) {
      ScheduleList(host, end);
    }
    while (!m_events.empty()) {
      const auto event = m_events.begin();
      const TimePoint next_run = std::max(m_now, m_scheduler.FindNextRun());
      if (m_use_permits && next_run < event->first) {
        m_now = next_run;
        RunScheduler();
        continue;
      }
      m_now = event->first;
      const auto action = event->second;
      m_events.erase(event);
      action();
    }
  }

  void After(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  std::vector<FakeServer> m_servers;
  std::vector<FakeClass> m_classes;
  uint32_t m_hosts = 20;

  /// Each request can only run at one server, as with shard keys.
  bool m_named_servers = false;

  /// Fraction of datagrams that are lost, and of those that arrive twice.
  double m_lost = 0;
  double m_repeated = 0;

  /// Refusals that were the first answer and took longer than 20 ms.
  uint32_t m_slow_refusals = 0;
  std::vector<std::chrono::milliseconds> m_retry_after;
  PermitScheduler m_scheduler;

 private:
  struct Request {
    size_t m_class = 0;
    uint32_t m_host = 0;
    TimePoint m_arrived_at;
    TimePoint m_asked_at;
    PermitTicket m_ticket = 0;
    bool m_returning = false;
    bool m_queued = false;
    bool m_ended = false;
    size_t m_server = 0;
    TimePoint m_sent_at;
    bool m_held = false;
    std::vector<std::string> m_excluded;
    SendServerId m_send_server;
    uint32_t m_attempts = 0;
  };

  void ScheduleArrival(size_t index, TimePoint end) {
    const double rate = m_classes[index].m_rate;
    if (rate <= 0) {
      return;
    }
    const double delay = std::exponential_distribution<>(rate)(m_random);
    if (m_now + FromSeconds(delay) >= end) {
      return;
    }
    After(FromSeconds(delay), [this, index, end] {
      ++m_classes[index].m_arrived;
      Request request;
      request.m_class = index;
      request.m_host = m_next_host++ % m_hosts;
      request.m_arrived_at = m_now;
      request.m_server = m_requests.size() % m_servers.size();
      m_requests.push_back(request);
      Ask(m_requests.size() - 1);
      ScheduleArrival(index, end);
    });
  }

  FakeClass& ClassOf(size_t id) { return m_classes[m_requests[id].m_class]; }

  Duration TimeLeft(size_t id) {
    return m_requests[id].m_arrived_at + ClassOf(id).m_time_limit - m_now;
  }

  PermitRequests MakeMessage(uint32_t host) {
    PermitRequests message;
    message.m_address = std::to_string(host);
    message.m_incarnation = "1";
    return message;
  }

  void Send(const PermitRequests& message) {
    std::uniform_real_distribution<> draw(0, 1);
    if (draw(m_random) < m_lost) {
      return;
    }
    const int copies = draw(m_random) < m_repeated ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      After(kNetwork + kNetwork * 20 * i, [this, message] {
        m_scheduler.Receive(message, m_now);
        RunScheduler();
      });
    }
  }

  void Ask(size_t id) {
    Request& request = m_requests[id];
    if (!m_use_permits) {
      AskAlone(id);
      return;
    }
    m_tickets[++m_last_ticket] = id;
    request.m_ticket = m_last_ticket;
    request.m_queued = false;
    request.m_asked_at = m_now;
    SendRequest(id, m_last_ticket);
  }

  void SendRequest(size_t id, PermitTicket ticket) {
    const Request& request = m_requests[id];
    // An ended request and one that has another ticket are not repeated.
    if (request.m_ticket != ticket || request.m_held ||
        TimeLeft(id).count() <= 0) {
      return;
    }
    PermitRequests message = MakeMessage(request.m_host);
    PermitRequest asked;
    asked.m_ticket = ticket;
    asked.m_service = "svc";
    asked.m_data_centre = "dc";
    asked.m_priority = ClassOf(id).m_priority;
    asked.m_time_left = ToMilliseconds(TimeLeft(id));
    asked.m_target_left =
        ToMilliseconds(request.m_arrived_at + ClassOf(id).m_target - m_now);
    asked.m_returning = request.m_returning;
    if (m_named_servers) {
      asked.m_server = m_servers[request.m_server].m_id;
    } else {
      asked.m_excluded = request.m_excluded;
    }
    message.m_requests.push_back(asked);
    Send(message);
    After(std::chrono::milliseconds(request.m_queued ? 400 : 100),
          [this, id, ticket] { SendRequest(id, ticket); });
  }

  void ScheduleList(uint32_t host, TimePoint end) {
    if (m_now >= end + std::chrono::seconds(10)) {
      return;
    }
    After(std::chrono::milliseconds(200), [this, host, end] {
      PermitRequests message = MakeMessage(host);
      message.m_complete = true;
      message.m_last_ticket = m_last_ticket;
      for (const auto& [ticket, id] : m_tickets) {
        const Request& request = m_requests[id];
        if (request.m_host == host) {
          message.m_held.push_back(
              {ticket, request.m_held ? m_servers[request.m_server].m_id : ""});
        }
      }
      Send(message);
      ScheduleList(host, end);
    });
  }

  void RunScheduler() {
    for (const AddressedDecisions& addressed : m_scheduler.Run(m_now)) {
      for (const PermitDecision& decision : addressed.m_decisions) {
        if (std::uniform_real_distribution<>(0, 1)(m_random) >= m_lost) {
          After(kNetwork, [this, decision] { Apply(decision); });
        }
      }
    }
  }

  void Apply(const PermitDecision& decision) {
    const auto found = m_tickets.find(decision.m_ticket);
    if (found == m_tickets.end() || m_requests[found->second].m_held) {
      return;
    }
    const size_t id = found->second;
    Request& request = m_requests[id];
    if (decision.m_state == PermitState::kQueued) {
      request.m_queued = true;
    } else if (decision.m_state == PermitState::kGranted) {
      const auto server =
          std::ranges::find(m_servers, decision.m_server, &FakeServer::m_id);
      request.m_server = static_cast<size_t>(server - m_servers.begin());
      request.m_held = true;
      request.m_sent_at = m_now;
      After(kNetwork, [this, id] { Arrive(id); });
    } else {
      m_tickets.erase(found);
      request.m_ticket = 0;
      if (!request.m_queued &&
          m_now - request.m_asked_at > std::chrono::milliseconds(20)) {
        ++m_slow_refusals;
      }
      m_retry_after.push_back(decision.m_retry_after);
      ComeBack(id, decision.m_retry_after);
    }
  }

  void ComeBack(size_t id, Duration delay) {
    if (TimeLeft(id) - delay < ClassOf(id).m_work) {
      ++ClassOf(id).m_refused;
      return;
    }
    m_requests[id].m_returning = true;
    After(delay, [this, id] { Ask(id); });
  }

  // The path before permits, as in `RequestHandler`.
  void AskAlone(size_t id) {
    Request& request = m_requests[id];
    ServiceEndpoints endpoints;
    for (const FakeServer& server : m_servers) {
      if (m_named_servers && &server != &m_servers[request.m_server]) {
        continue;
      }
      RoutedServer& routed = endpoints.m_servers[server.m_id];
      routed.m_id = server.m_id;
      routed.m_data_centre = "dc";
      routed.m_slots = server.m_slots;
    }
    SendSystem& system = m_alone[request.m_host];
    const RoutedServer* chosen = ChooseServer(
        endpoints, "dc", {request.m_excluded.begin(), request.m_excluded.end()},
        system, m_now);
    if (!chosen) {
      ComeBack(id,
               std::min<Duration>(TimeLeft(id) / 3, std::chrono::seconds(1)));
      return;
    }
    request.m_server = static_cast<size_t>(
        std::ranges::find(m_servers, chosen->m_id, &FakeServer::m_id) -
        m_servers.begin());
    const SendServerId server = system.GetOrInsert(*chosen, m_now);
    const uint32_t priority = ClassOf(id).m_priority;
    if (!system.HasQueueSpace(server) ||
        system.EstimateTotalTime(server, priority, m_now) >= TimeLeft(id)) {
      ComeBack(id,
               std::min<Duration>(TimeLeft(id) / 3, std::chrono::seconds(1)));
      return;
    }
    const QueueKey key{priority, ++m_last_ticket};
    system.Enqueue(server, key);
    TrySendAlone(id, server, key);
  }

  void TrySendAlone(size_t id, SendServerId server, const QueueKey& key) {
    SendSystem& system = m_alone[m_requests[id].m_host];
    TimePoint retry_at;
    if (TimeLeft(id) < system.EstimateServiceTime(server)) {
      system.Dequeue(server, key);
      ++ClassOf(id).m_refused;
    } else if (system.CanSend(server, key, m_now, retry_at)) {
      system.Dequeue(server, key);
      system.OnSent(server);
      m_requests[id].m_send_server = server;
      m_requests[id].m_sent_at = m_now;
      After(kNetwork, [this, id] { Arrive(id); });
    } else {
      After(std::chrono::milliseconds(5),
            [this, id, server, key] { TrySendAlone(id, server, key); });
    }
  }

  void ReturnAlone(size_t id,
                   PermitEnd end,
                   const std::optional<LoadReport>& load) {
    const Request& request = m_requests[id];
    SendSystem& system = m_alone[request.m_host];
    system.OnCompleted(request.m_send_server, load,
                       end == PermitEnd::kResponded, m_now - request.m_sent_at,
                       m_now);
    if (end == PermitEnd::kRefused) {
      system.OnRefused(request.m_send_server);
    }
  }

  void Arrive(size_t id) {
    FakeServer& server = m_servers[m_requests[id].m_server];
    ++server.m_received;
    if (server.m_is_broken) {
      Fail(id, server.m_when_broken);
    } else if (server.m_running < server.m_slots) {
      Start(id);
    } else if (server.m_waiting.size() < server.m_queue_limit) {
      ++server.m_queued_in_server;
      server.m_waiting.push_back(id);
    } else {
      ++server.m_refused;
      Fail(id, server.m_when_full);
    }
  }

  void Start(size_t id) {
    FakeServer& server = m_servers[m_requests[id].m_server];
    ++server.m_running;
    std::uniform_real_distribution<> variation(0.7, 1.3);
    const Duration work =
        FromSeconds(ToSeconds(ClassOf(id).m_work) * server.m_speed_factor *
                    variation(m_random));
    After(work, [this, id] {
      FakeServer& finished = m_servers[m_requests[id].m_server];
      --finished.m_running;
      ++finished.m_served;
      const LoadReport load{finished.m_running,
                            static_cast<uint32_t>(finished.m_waiting.size()),
                            finished.m_slots, std::nullopt};
      if (!finished.m_waiting.empty()) {
        const size_t next = finished.m_waiting.front();
        finished.m_waiting.pop_front();
        Start(next);
      }
      After(kNetwork, [this, id, load] {
        const Duration elapsed = m_now - m_requests[id].m_arrived_at;
        if (elapsed <= ClassOf(id).m_time_limit) {
          ++(elapsed <= ClassOf(id).m_target ? ClassOf(id).m_in_time
                                             : ClassOf(id).m_late);
        }
        Return(id, PermitEnd::kResponded, load);
      });
    });
  }

  // A request without a response is given up after two seconds, and a request
  // is tried three times before its client is told to come back.
  void Fail(size_t id, FakeFault fault) {
    const Duration delay =
        fault == FakeFault::kNoResponse ? std::chrono::seconds(2) : kNetwork;
    After(delay, [this, id, fault] {
      Request& request = m_requests[id];
      request.m_excluded.push_back(m_servers[request.m_server].m_id);
      Return(id,
             fault == FakeFault::kRefuse ? PermitEnd::kRefused
                                         : PermitEnd::kUnanswered,
             std::nullopt);
      if (++request.m_attempts % 3 == 0) {
        request.m_excluded.clear();
        ComeBack(id,
                 std::min<Duration>(TimeLeft(id) / 3, std::chrono::seconds(1)));
      } else {
        ComeBack(id, {});
      }
    });
  }

  void Return(size_t id, PermitEnd end, const std::optional<LoadReport>& load) {
    Request& request = m_requests[id];
    if (!m_use_permits) {
      ReturnAlone(id, end, load);
      return;
    }
    PermitRequests message = MakeMessage(request.m_host);
    PermitReturn returned;
    returned.m_ticket = request.m_ticket;
    returned.m_end = end;
    returned.m_latency = std::chrono::duration_cast<std::chrono::microseconds>(
        m_now - request.m_sent_at);
    returned.m_load = load;
    message.m_returns.push_back(returned);
    m_tickets.erase(request.m_ticket);
    request.m_ticket = 0;
    request.m_held = false;
    Send(message);
  }

  static std::chrono::milliseconds ToMilliseconds(Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  }

  bool m_use_permits;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::deque<Request> m_requests;
  std::map<uint32_t, SendSystem> m_alone;
  std::map<PermitTicket, size_t> m_tickets;
  PermitTicket m_last_ticket = 0;
  uint32_t m_next_host = 0;
  std::mt19937 m_random{7};
};

}  // namespace foxtail
