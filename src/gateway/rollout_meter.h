#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/rollout_records.h"
#include "gateway/routing_snapshot.h"

namespace foxtail {

/// How an attempt ended, as far as it tells of the server's version.
enum class AttemptResult {
  /// A valid response with a status below 500.
  kGood,
  /// A status of 500 or above, an invalid response or none.
  kFailed,
  /// The server was not reached or refused to run the request, or the client
  /// left.
  kNoEvidence,
};

/// Counts what servers of both groups did while rollouts run, for the leader.
class RolloutMeter {
 public:
  /// Requests that are on their way, by service and software version.
  using InFlight = std::map<std::string, std::map<std::string, uint32_t>>;

  /// Takes over the rollouts of a new snapshot.
  void OnSnapshot(const RoutingSnapshot& snapshot);

  /// Records that a request is sent to a server. The request is on its way
  /// until the result is released. Null for servers without a version.
  std::shared_ptr<void> OnSent(const std::string& service,
                               const RoutedServer& server,
                               bool is_retry);

  /// Records how an attempt ended. `was_cold` tells that the server was cold
  /// when the request was sent.
  void OnEnded(const std::string& service,
               const std::string& route,
               const RoutedServer& server,
               AttemptResult result,
               bool was_cold,
               Duration latency);

  /// Returns the counts of all running rollouts.
  std::vector<RolloutCounts> Collect() const;

 private:
  struct Meter {
    RoutedRollout m_rollout;
    RolloutCounts m_counts;
    std::map<std::string, RouteCounts> m_routes;
  };

  std::map<std::string, Meter> m_meters;
  std::shared_ptr<InFlight> m_in_flight = std::make_shared<InFlight>();
};

}  // namespace foxtail
