#include "support/fake_clients.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr std::chrono::seconds kDeadline{1};

}  // namespace

size_t RequestRecord::CountMostRunWithin(Duration window) const {
  size_t most = 0;
  auto first = m_run_at.begin();
  for (auto last = m_run_at.begin(); last != m_run_at.end(); ++last) {
    while (*last - *first >= window) {
      ++first;
    }
    most = std::max(most, static_cast<size_t>(last - first) + 1);
  }
  return most;
}

void RequestRecord::Clear() {
  m_run_at.clear();
  m_refused = 0;
}

void FakeClients::Step(const RoutedWorkspace& workspace,
                       const MemberPosition& position,
                       TimePoint now,
                       Duration step) {
  std::erase_if(m_turned_away, [&](const TurnedAway& request) {
    if (now >= request.m_at) {
      m_admission.ReturnToken(workspace.m_name, request.m_admitted_by);
    }
    return now >= request.m_at;
  });
  DecideWaiting(workspace, position, now);
  for (m_due += m_rate * ToSeconds(step); m_due >= 1; m_due -= 1) {
    Arrive(workspace, position, now);
  }
}

void FakeClients::Arrive(const RoutedWorkspace& workspace,
                         const MemberPosition& position,
                         TimePoint now) {
  const RateDecision decision = m_admission.Begin(workspace, position, now);
  if (decision == RateDecision::kWait) {
    m_waiting.push_back({now, now + kDeadline});
  } else {
    Finish(decision, now);
  }
}

void FakeClients::DecideWaiting(const RoutedWorkspace& workspace,
                                const MemberPosition& position,
                                TimePoint now) {
  std::erase_if(m_waiting, [&](const Waiting& waiting) {
    const RateDecision decision = m_admission.Continue(
        workspace, position, waiting.m_arrived_at, waiting.m_deadline, now);
    if (decision == RateDecision::kWait) {
      return false;
    }
    Finish(decision, now);
    return true;
  });
}

void FakeClients::Finish(RateDecision decision, TimePoint now) {
  if (decision == RateDecision::kRefused) {
    ++m_record.m_refused;
    return;
  }
  m_turned_away_due += m_turned_away_fraction;
  if (m_turned_away_due >= 1) {
    m_turned_away_due -= 1;
    m_turned_away.push_back({decision, now + m_turned_away_delay});
  } else {
    m_record.m_run_at.push_back(now);
  }
}

}  // namespace foxtail
