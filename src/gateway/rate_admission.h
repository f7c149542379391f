#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/equal_share_limiter.h"
#include "gateway/gateway_tables.h"
#include "traffic/token_budget.h"

namespace foxtail {

/// Result of asking for a request's admission.
enum class RateDecision {
  kAdmitted,
  /// The leader has been asked for tokens; ask again when they arrive.
  kWait,
  kRefused,
};

/// How requests for admission ended.
enum class AdmissionOutcome : uint32_t {
  kLeaderToken,
  kEqualShare,
  kRefusedByLeader,
  /// The leader's tokens came too late and the equal share was used up.
  kRefusedWithoutLeader,
  kAdmissionOutcomes,
};

/// Returns the name of an outcome in logs and metrics.
std::string_view NameOf(AdmissionOutcome outcome);

/// Number of requests by outcome, since the counts were last taken.
using AdmissionCounts =
    std::array<uint64_t,
               static_cast<size_t>(AdmissionOutcome::kAdmissionOutcomes)>;

/// Decides on one host which requests are within their workspace's rate. Uses
/// tokens that the leader issues, and an equal share of the rate without them.
class RateAdmission {
 public:
  explicit RateAdmission(const OwnershipSettings& settings);

  /// Decides about a request that has just arrived. `members` is the number of
  /// gateways that share the rate. After `kWait` the request counts as waiting
  /// until `EndWait`.
  RateDecision Begin(const RoutedWorkspace& workspace,
                     size_t members,
                     TimePoint now);

  /// Decides again about a waiting request. Waits no longer than `wait_until`.
  RateDecision Continue(const RoutedWorkspace& workspace,
                        size_t members,
                        TimePoint arrived_at,
                        TimePoint wait_until,
                        TimePoint now);

  /// Returns until when a request that arrived at `arrived_at` should wait.
  static TimePoint WaitDeadline(TimePoint arrived_at);

  /// Returns the token of a request that did not run.
  void ReturnToken(const std::string& workspace, TimePoint now);

  /// Builds the token demands of the next report to the leader.
  std::vector<TokenDemand> BuildDemands(TimePoint now);

  /// Adds the tokens that the leader issued in response to a report.
  void OnLeaderTokens(const LeaderTokens& leader_tokens, TimePoint now);

  /// Returns the counts of each workspace since the last call.
  std::map<std::string, AdmissionCounts> TakeCounts();

 private:
  RateDecision DecideWithoutLeader(const RoutedWorkspace& workspace,
                                   size_t members,
                                   TimePoint arrived_at,
                                   TimePoint now);
  RateDecision Finish(const std::string& workspace, AdmissionOutcome outcome);

  const OwnershipSettings& m_settings;
  TokenBudget m_budget;
  EqualShareLimiter m_equal_share;
  TimePoint m_leader_last_heard_at;
  std::map<std::string, AdmissionCounts> m_counts;
};

}  // namespace foxtail
