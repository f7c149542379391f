#include "gateway/rate_limiter.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {

void RateLimiter::Acquire(const RoutedWorkspace& workspace,
                          size_t members,
                          TimePoint deadline) {
  const TimePoint arrived_at = Clock::now();
  const TimePoint wait_until =
      std::min(deadline, RateAdmission::WaitDeadline(arrived_at));
  RateDecision decision = m_admission.Begin(workspace, members, arrived_at);
  while (decision == RateDecision::kWait) {
    m_on_tokens_needed();
    m_tokens_received.WaitUntil(wait_until);
    decision = m_admission.Continue(workspace, members, arrived_at, wait_until,
                                    Clock::now());
  }
  if (decision == RateDecision::kRefused) {
    throw Error(ErrorCode::kRateExceeded, workspace.m_name);
  }
}

void RateLimiter::OnLeaderTokens(const LeaderTokens& leader_tokens) {
  m_admission.OnLeaderTokens(leader_tokens, Clock::now());
  m_tokens_received.Notify();
}

}  // namespace foxtail
