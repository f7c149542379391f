#include "gateway/rate_gate.h"

#include <algorithm>

#include "core/error.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Stock for the demand of this time, so that it lasts until the answer to the
// report after the next.
constexpr milliseconds kHorizon{600};

// For this long after the leader had too few tokens, requests are refused
// without asking again: a workspace far over its rate must not cost a wait and
// a message for each request.
constexpr milliseconds kDenialLife{250};

// A request waits this long for the leader's word: some round trips between
// data centres, and well within what a client notices.
constexpr milliseconds kTokenWait{60};

}  // namespace

RateGate::RateGate(const OwnershipSettings& settings)
    : m_settings(settings),
      m_budget(std::make_unique<WholeDemandShare>(kHorizon)) {}

void RateGate::Acquire(const RoutedWorkspace& workspace,
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
  if (m_budget.WasDenied(name, start - kDenialLife)) {
    throw Error(ErrorCode::kRateExceeded, name);
  }
  bool taken = false;
  const bool heard = start - m_leader_heard < m_settings.m_unheard_after;
  const TimePoint until = std::min(deadline, start + kTokenWait);
  m_budget.AddWaiting(name);
  while (heard && !taken && Clock::now() < until &&
         !m_budget.WasDenied(name, start)) {
    m_wanted();
    m_granted.WaitUntil(until);
    taken = m_budget.TryAcquire(name, Clock::now());
  }
  m_budget.RemoveWaiting(name);
  if (taken) {
    return;
  }
  const bool denied = m_budget.WasDenied(name, start);
  if (denied || !m_even.TryAcquire(workspace, members, Clock::now())) {
    throw Error(ErrorCode::kRateExceeded, name);
  }
}

void RateGate::ReturnToken(const std::string& workspace) {
  m_budget.ReturnToken(workspace, Clock::now() + m_settings.m_token_life);
}

std::vector<TokenDemand> RateGate::BuildDemands(TimePoint now) {
  return m_budget.BuildDemands(now);
}

void RateGate::OnLeaderWord(const LeaderWord& word) {
  m_leader_heard = Clock::now();
  m_budget.OnGrants(word.m_tokens, word.m_report_sent);
  m_granted.Notify();
}

}  // namespace foxtail
