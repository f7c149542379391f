#include "gateway/rate_limiter.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {

RateDecision RateLimiter::TryAcquire(const RoutedWorkspace& workspace,
                                     const MemberPosition& position,
                                     TimePoint deadline) {
  const TimePoint arrived_at = Clock::now();
  RateDecision decision = m_admission.Begin(workspace, position, arrived_at);
  while (decision == RateDecision::kWait) {
    m_on_tokens_needed();
    m_tokens_received.WaitUntil(std::min(
        deadline, RateAdmission::FindTimeout(arrived_at, Clock::now())));
    decision = m_admission.Continue(workspace, position, arrived_at, deadline,
                                    Clock::now());
  }
  return decision;
}

RateDecision RateLimiter::Acquire(const RoutedWorkspace& workspace,
                                  const MemberPosition& position,
                                  TimePoint deadline) {
  const RateDecision decision = TryAcquire(workspace, position, deadline);
  if (decision == RateDecision::kRefused) {
    throw Error(ErrorCode::kRateExceeded, workspace.m_name);
  }
  return decision;
}

void RateLimiter::OnLeaderTokens(const LeaderTokens& leader_tokens) {
  m_admission.OnLeaderTokens(leader_tokens, Clock::now());
  m_tokens_received.Notify();
}

}  // namespace foxtail
