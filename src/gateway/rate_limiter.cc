#include "gateway/rate_limiter.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Tokens are stocked for the demand of this period, so that they last until the
// response to the report after the next.
constexpr milliseconds kDemandHorizon{600};

// For this long after the leader issued fewer tokens than requested, requests
// are refused without a new demand: a workspace far above its rate must not
// cost a wait and a message for each request.
constexpr milliseconds kDenialTtl{250};

// Longest wait of a request for the leader's tokens: a few round trips between
// data centres, and too short for a client to notice.
constexpr milliseconds kTokenTimeout{60};

}  // namespace

RateLimiter::RateLimiter(const OwnershipSettings& settings)
    : m_settings(settings),
      m_budget(std::make_unique<WholeDemandShare>(kDemandHorizon)) {}

void RateLimiter::Acquire(const RoutedWorkspace& workspace,
                          size_t members,
                          TimePoint deadline) {
  if (workspace.m_rate <= 0) {
    return;
  }
  const TimePoint start = Clock::now();
  const std::string& name = workspace.m_name;
  m_budget.OnArrival(name, start);
  if (m_budget.TryAcquire(name, start)) {
    return;
  }
  if (m_budget.WasDenied(name, start - kDenialTtl)) {
    throw Error(ErrorCode::kRateExceeded, name);
  }
  bool acquired = false;
  const bool leader_reachable =
      start - m_leader_last_heard_at < m_settings.m_contact_silence_timeout;
  const TimePoint wait_until = std::min(deadline, start + kTokenTimeout);
  m_budget.AddWaiting(name);
  while (leader_reachable && !acquired && Clock::now() < wait_until &&
         !m_budget.WasDenied(name, start)) {
    m_on_tokens_needed();
    m_tokens_received.WaitUntil(wait_until);
    acquired = m_budget.TryAcquire(name, Clock::now());
  }
  m_budget.RemoveWaiting(name);
  if (acquired) {
    return;
  }
  const bool denied = m_budget.WasDenied(name, start);
  if (denied || !m_equal_share.TryAcquire(workspace, members, Clock::now())) {
    throw Error(ErrorCode::kRateExceeded, name);
  }
}

void RateLimiter::ReturnToken(const std::string& workspace) {
  m_budget.ReturnToken(workspace, Clock::now() + m_settings.m_token_ttl);
}

std::vector<TokenDemand> RateLimiter::BuildDemands(TimePoint now) {
  return m_budget.BuildDemands(now);
}

void RateLimiter::OnLeaderTokens(const LeaderTokens& leader_tokens) {
  m_leader_last_heard_at = Clock::now();
  m_budget.OnGrants(leader_tokens.m_tokens, leader_tokens.m_report_sent_at);
  m_tokens_received.Notify();
}

}  // namespace foxtail
