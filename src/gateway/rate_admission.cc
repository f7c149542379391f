#include "gateway/rate_admission.h"

#include <utility>

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

constexpr std::array kOutcomeNames = {"leader_token", "equal_share",
                                      "refused_by_leader",
                                      "refused_without_leader"};

}  // namespace

std::string_view NameOf(AdmissionOutcome outcome) {
  return kOutcomeNames.at(static_cast<size_t>(outcome));
}

RateAdmission::RateAdmission(const OwnershipSettings& settings)
    : m_settings(settings),
      m_budget(std::make_unique<WholeDemandShare>(kDemandHorizon)) {}

TimePoint RateAdmission::WaitDeadline(TimePoint arrived_at) {
  return arrived_at + kTokenTimeout;
}

RateDecision RateAdmission::Finish(const std::string& workspace,
                                   AdmissionOutcome outcome) {
  ++m_counts[workspace][static_cast<size_t>(outcome)];
  const bool admitted = outcome == AdmissionOutcome::kLeaderToken ||
                        outcome == AdmissionOutcome::kEqualShare;
  return admitted ? RateDecision::kAdmitted : RateDecision::kRefused;
}

RateDecision RateAdmission::Begin(const RoutedWorkspace& workspace,
                                  size_t members,
                                  TimePoint now) {
  const std::string& name = workspace.m_name;
  if (workspace.m_rate <= 0) {
    return RateDecision::kAdmitted;
  }
  m_budget.OnArrival(name, now);
  if (m_budget.TryAcquire(name, now)) {
    return Finish(name, AdmissionOutcome::kLeaderToken);
  }
  if (m_budget.WasDenied(name, now - kDenialTtl)) {
    return Finish(name, AdmissionOutcome::kRefusedByLeader);
  }
  if (now - m_leader_last_heard_at >= m_settings.m_contact_silence_timeout) {
    return DecideWithoutLeader(workspace, members, now, now);
  }
  m_budget.AddWaiting(name);
  return RateDecision::kWait;
}

RateDecision RateAdmission::Continue(const RoutedWorkspace& workspace,
                                     size_t members,
                                     TimePoint arrived_at,
                                     TimePoint wait_until,
                                     TimePoint now) {
  const std::string& name = workspace.m_name;
  RateDecision decision = RateDecision::kWait;
  if (m_budget.TryAcquire(name, now)) {
    decision = Finish(name, AdmissionOutcome::kLeaderToken);
  } else if (m_budget.WasDenied(name, arrived_at) || now >= wait_until) {
    decision = DecideWithoutLeader(workspace, members, arrived_at, now);
  }
  if (decision != RateDecision::kWait) {
    m_budget.RemoveWaiting(name);
  }
  return decision;
}

RateDecision RateAdmission::DecideWithoutLeader(
    const RoutedWorkspace& workspace,
    size_t members,
    TimePoint arrived_at,
    TimePoint now) {
  const std::string& name = workspace.m_name;
  if (m_budget.WasDenied(name, arrived_at)) {
    return Finish(name, AdmissionOutcome::kRefusedByLeader);
  }
  return Finish(name, m_equal_share.TryAcquire(workspace, members, now)
                          ? AdmissionOutcome::kEqualShare
                          : AdmissionOutcome::kRefusedWithoutLeader);
}

void RateAdmission::ReturnToken(const std::string& workspace, TimePoint now) {
  m_budget.ReturnToken(workspace, now + m_settings.m_token_ttl);
}

std::vector<TokenDemand> RateAdmission::BuildDemands(TimePoint now) {
  return m_budget.BuildDemands(now);
}

void RateAdmission::OnLeaderTokens(const LeaderTokens& leader_tokens,
                                   TimePoint now) {
  m_leader_last_heard_at = now;
  m_budget.OnGrants(leader_tokens.m_tokens, leader_tokens.m_report_sent_at);
}

std::map<std::string, AdmissionCounts> RateAdmission::TakeCounts() {
  return std::exchange(m_counts, {});
}

}  // namespace foxtail
