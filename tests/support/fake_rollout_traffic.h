#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "gateway/rollout_meter.h"
#include "gateway/rollout_splitter.h"

namespace foxtail {

/// Request path of a fake host with the real choice of versions and counts.
struct FakeRolloutHost {
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  RolloutSplitter m_splitter;
  RolloutMeter m_meter;

  /// Requests on their way, by the time of their end.
  std::multimap<TimePoint, std::function<void()>> m_in_flight;
  double m_due = 0;
};

/// A request as its server sees it.
struct FakeCall {
  std::string m_version;
  std::string m_route;
  Duration m_since_start{};

  /// Requests at all servers of the version.
  uint32_t m_at_version = 0;
};

/// What the server does.
struct FakeResponse {
  AttemptResult m_result = AttemptResult::kGood;
  Duration m_latency = std::chrono::milliseconds(50);
};

/// Fake of clients of a service and of the servers' responses, at all hosts.
class FakeRolloutTraffic {
 public:
  using Behaviour = std::function<FakeResponse(const FakeCall&)>;

  /// Lets the requests of a step arrive at a host that is one of `hosts`.
  void Run(FakeRolloutHost& host, size_t hosts, Duration step, TimePoint now);

  /// Ends the requests of a host whose process has ended.
  static void OnHostLost(FakeRolloutHost& host);

  /// Records that the state for the operators was written.
  void OnStatus(RolloutState state, TimePoint now);

  std::string m_service;
  bool m_sharded = false;

  /// Version under test, whose requests are counted.
  std::string m_target;

  /// Requests per second at all hosts together; the last host's clients may
  /// have all of them.
  double m_rate = 0;
  Behaviour m_behaviour = [](const FakeCall&) { return FakeResponse(); };

  /// Every tenth request is for route "rare", the others for "main".
  size_t m_requests = 0;
  size_t m_unserved = 0;
  size_t m_target_requests = 0;
  size_t m_target_bad = 0;
  TimePoint m_last_target_at;
  std::optional<TimePoint> m_limit_at;
  std::optional<TimePoint> m_ended_at;

  /// Requests at servers of other versions when "completed" was written, and
  /// sent there later.
  uint32_t m_cut_off = 0;
  size_t m_sent_to_stopped = 0;

 private:
  const RoutedServer* Choose(FakeRolloutHost& host, TimePoint now);
  void Send(FakeRolloutHost& host, const RoutedServer& server, TimePoint now);

  std::map<std::string, uint32_t> m_at_versions;
  TimePoint m_started_at;
  bool m_others_stopped = false;
  std::minstd_rand m_random{7};
};

}  // namespace foxtail
