#pragma once

#include <functional>
#include <string>

#include "gateway/equal_share_limiter.h"
#include "gateway/gateway_tables.h"
#include "runtime/fiber_event.h"
#include "traffic/token_budget.h"

namespace foxtail {

/// Admits requests within their workspaces' rates. Uses tokens that the leader
/// issues; while the leader is unreachable, uses an equal share of the rate.
class RateLimiter {
 public:
  explicit RateLimiter(const OwnershipSettings& settings);

  /// Sets the callback that runs when a request waits for tokens.
  void SetOnTokensNeeded(std::function<void()> on_tokens_needed) {
    m_on_tokens_needed = std::move(on_tokens_needed);
  }

  /// Acquires a token for a request. May block the calling fiber until the
  /// leader responds. `members` is the number of gateways that share the rate.
  /// Throws `Error(kRateExceeded)`.
  void Acquire(const RoutedWorkspace& workspace,
               size_t members,
               TimePoint deadline);

  /// Returns the token of a request that did not run.
  void ReturnToken(const std::string& workspace);

  /// Builds the token demands of the next report to the leader.
  std::vector<TokenDemand> BuildDemands(TimePoint now);

  /// Adds the tokens that the leader issued in response to a report.
  void OnLeaderTokens(const LeaderTokens& leader_tokens);

 private:
  const OwnershipSettings& m_settings;
  TokenBudget m_budget;
  EqualShareLimiter m_equal_share;
  FiberEvent m_tokens_received;
  TimePoint m_leader_last_heard_at;
  std::function<void()> m_on_tokens_needed;
};

}  // namespace foxtail
