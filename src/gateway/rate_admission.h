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

/// Result of asking for a request's admission. An admitted request has a token
/// of the leader or of the host's equal share, or its workspace has no limit.
enum class RateDecision {
  kUnlimited,
  kLeaderToken,
  kEqualShare,
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
/// the host's equal share of the rate first, then tokens that the leader
/// issues. The leader charges both to one budget.
class RateAdmission {
 public:
  explicit RateAdmission(const OwnershipSettings& settings);

  /// Decides about a request that has just arrived. After `kWait` the request
  /// counts as waiting until `Continue` decides otherwise.
  RateDecision Begin(const RoutedWorkspace& workspace,
                     const MemberPosition& position,
                     TimePoint now);

  /// Decides again about a waiting request, when tokens have arrived or at its
  /// timeout.
  RateDecision Continue(const RoutedWorkspace& workspace,
                        const MemberPosition& position,
                        TimePoint arrived_at,
                        TimePoint deadline,
                        TimePoint now);

  /// Returns the next timeout of a waiting request that arrived at
  /// `arrived_at`.
  static TimePoint FindTimeout(TimePoint arrived_at, TimePoint now);

  /// Returns the token of a request that was admitted by `decision` and did not
  /// run.
  void ReturnToken(const std::string& workspace, RateDecision decision);

  /// Builds the token demands of the next report to the leader.
  std::vector<TokenDemand> BuildDemands(TimePoint now);

  /// Adds the tokens that the leader issued in response to a report.
  void OnLeaderTokens(const LeaderTokens& leader_tokens, TimePoint now);

  /// Returns the counts of each workspace since the last call.
  std::map<std::string, AdmissionCounts> TakeCounts();

 private:
  RateDecision DecideByReserve(const RoutedWorkspace& workspace,
                               const MemberPosition& position,
                               AdmissionOutcome refusal,
                               TimePoint now);
  bool IsShareRefilledInTime(const RoutedWorkspace& workspace,
                             const MemberPosition& position,
                             TimePoint now);
  bool IsTimedOut(const std::string& workspace,
                  TimePoint arrived_at,
                  TimePoint now) const;
  RateDecision Finish(const std::string& workspace, AdmissionOutcome outcome);

  const OwnershipSettings& m_settings;
  TokenBudget m_budget;
  EqualShareLimiter m_equal_share;
  TimePoint m_leader_last_heard_at;

  /// When the newest report was sent that the leader has answered.
  TimePoint m_answered_report_sent_at;
  std::map<std::string, AdmissionCounts> m_counts;
};

}  // namespace foxtail
