#pragma once

#include <functional>
#include <string>

#include "gateway/rate_admission.h"
#include "runtime/fiber_event.h"

namespace foxtail {

/// Admits requests within their workspaces' rates: lets fibers wait for the
/// decisions of `RateAdmission`.
class RateLimiter {
 public:
  explicit RateLimiter(const OwnershipSettings& settings)
      : m_admission(settings) {}

  /// Sets the callback that runs when a request waits for tokens.
  void SetOnTokensNeeded(std::function<void()> on_tokens_needed) {
    m_on_tokens_needed = std::move(on_tokens_needed);
  }

  /// Acquires a token for a request. May block the calling fiber until the
  /// leader responds. Returns what admitted the request, or `kRefused`.
  RateDecision TryAcquire(const RoutedWorkspace& workspace,
                          const MemberPosition& position,
                          TimePoint deadline);

  /// The same, but throws `Error(kRateExceeded)` if the request is refused.
  RateDecision Acquire(const RoutedWorkspace& workspace,
                       const MemberPosition& position,
                       TimePoint deadline);

  /// Adds the tokens that the leader issued in response to a report.
  void OnLeaderTokens(const LeaderTokens& leader_tokens);

  RateAdmission& GetAdmission() { return m_admission; }

 private:
  RateAdmission m_admission;
  FiberEvent m_tokens_received;
  std::function<void()> m_on_tokens_needed;
};

}  // namespace foxtail
