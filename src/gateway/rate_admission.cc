#include "gateway/rate_admission.h"

#include <algorithm>
#include <utility>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Tokens are stocked for the demand of this period, so that they last until the
// response to the report after the next.
constexpr milliseconds kDemandHorizon{600};

// Limit on the stock of one host, relative to the burst divided by the number
// of hosts. Without it, a few hosts would hold all tokens of a small rate.
constexpr double kMaxStockParts = 2;

// For this long after a denial of the leader arrived, requests are refused
// without a new demand: a workspace far above its rate must not
// cost a wait and a message for each request.
constexpr milliseconds kDenialTtl{250};

// Longest wait of a request for the leader's tokens: a few round trips between
// data centres, and too short for a client to notice.
constexpr milliseconds kTokenTimeout{60};

// The same for a request that has nothing else to wait for: its host has no
// burst of the share, or the leader has answered and tokens are short for a
// moment only.
constexpr milliseconds kLongTokenTimeout{200};

/// Name of an outcome in logs and metrics, and the decision that it means.
struct OutcomeRow {
  std::string_view m_name;
  RateDecision m_decision;
};

// In the order of `AdmissionOutcome`.
constexpr std::array kOutcomes = {
    OutcomeRow{"leader_token", RateDecision::kLeaderToken},
    OutcomeRow{"equal_share", RateDecision::kEqualShare},
    OutcomeRow{"refused_by_leader", RateDecision::kRefused},
    OutcomeRow{"refused_without_leader", RateDecision::kRefused}};

}  // namespace

std::string_view NameOf(AdmissionOutcome outcome) {
  return kOutcomes.at(static_cast<size_t>(outcome)).m_name;
}

RateAdmission::RateAdmission(const OwnershipSettings& settings)
    : m_settings(settings),
      m_budget(std::make_unique<WholeDemandShare>(kDemandHorizon)) {}

TimePoint RateAdmission::FindTimeout(TimePoint arrived_at, TimePoint now) {
  return arrived_at +
         (now < arrived_at + kTokenTimeout ? kTokenTimeout : kLongTokenTimeout);
}

// Counts the outcome and returns the decision that it means.
RateDecision RateAdmission::Finish(const std::string& workspace,
                                   AdmissionOutcome outcome) {
  const auto index = static_cast<size_t>(outcome);
  ++m_counts[workspace].at(index);
  return kOutcomes.at(index).m_decision;
}

RateDecision RateAdmission::Begin(const RoutedWorkspace& workspace,
                                  const MemberPosition& position,
                                  TimePoint now) {
  const std::string& name = workspace.m_name;
  if (workspace.m_rate <= 0) {
    return RateDecision::kUnlimited;
  }
  if (m_equal_share.TryAcquire(workspace, position, ShareUse::kKeepReserve,
                               now)) {
    return Finish(name, AdmissionOutcome::kEqualShare);
  }
  m_budget.OnArrival(name, now);
  m_budget.SetStockLimit(name, kMaxStockParts * workspace.m_burst /
                                   std::max<double>(1, position.m_members));
  if (m_budget.TryAcquire(name, now)) {
    return Finish(name, AdmissionOutcome::kLeaderToken);
  }
  if (m_budget.HasReceivedDenial(name, now - kDenialTtl)) {
    return DecideByReserve(workspace, position,
                           AdmissionOutcome::kRefusedByLeader, now);
  }
  const bool leader_silent =
      now - m_leader_last_heard_at >= m_settings.m_contact_silence_timeout;
  if (leader_silent && !IsShareRefilledInTime(workspace, position, now)) {
    return DecideByReserve(workspace, position,
                           AdmissionOutcome::kRefusedWithoutLeader, now);
  }
  m_budget.AddWaiting(name);
  return RateDecision::kWait;
}

// Admits a request by what is left of the share, or refuses it.
RateDecision RateAdmission::DecideByReserve(const RoutedWorkspace& workspace,
                                            const MemberPosition& position,
                                            AdmissionOutcome refusal,
                                            TimePoint now) {
  const bool admitted =
      m_equal_share.TryAcquire(workspace, position, ShareUse::kUseReserve, now);
  return Finish(workspace.m_name,
                admitted ? AdmissionOutcome::kEqualShare : refusal);
}

// Returns whether a request that waits now can have a token of the share, after
// the requests that wait already.
bool RateAdmission::IsShareRefilledInTime(const RoutedWorkspace& workspace,
                                          const MemberPosition& position,
                                          TimePoint now) {
  const auto waiting =
      static_cast<double>(m_budget.CountWaiting(workspace.m_name));
  return m_equal_share.FindRefillTime(workspace, position, waiting + 1, now) <
         now + kTokenTimeout;
}

bool RateAdmission::IsTimedOut(const std::string& workspace,
                               TimePoint arrived_at,
                               TimePoint now) const {
  const bool waits_longer = m_answered_report_sent_at >= arrived_at ||
                            !m_equal_share.HasBurst(workspace);
  return now >= arrived_at + (waits_longer ? kLongTokenTimeout : kTokenTimeout);
}

RateDecision RateAdmission::Continue(const RoutedWorkspace& workspace,
                                     const MemberPosition& position,
                                     TimePoint arrived_at,
                                     TimePoint deadline,
                                     TimePoint now) {
  const std::string& name = workspace.m_name;
  RateDecision decision = RateDecision::kWait;
  if (m_budget.TryAcquire(name, now)) {
    decision = Finish(name, AdmissionOutcome::kLeaderToken);
  } else if (m_budget.WasDenied(name, arrived_at)) {
    decision = DecideByReserve(workspace, position,
                               AdmissionOutcome::kRefusedByLeader, now);
  } else if (now >= deadline || IsTimedOut(name, arrived_at, now)) {
    decision = DecideByReserve(workspace, position,
                               AdmissionOutcome::kRefusedWithoutLeader, now);
  }
  if (decision != RateDecision::kWait) {
    m_budget.RemoveWaiting(name);
  }
  return decision;
}

void RateAdmission::ReturnToken(const std::string& workspace,
                                RateDecision decision) {
  if (decision == RateDecision::kEqualShare) {
    m_equal_share.ReturnToken(workspace);
  } else if (decision == RateDecision::kLeaderToken) {
    m_budget.ReturnToken(workspace);
  }
}

std::vector<TokenDemand> RateAdmission::BuildDemands(TimePoint now) {
  std::vector<TokenDemand> demands = m_budget.BuildDemands(now);
  m_equal_share.AddUse(demands, now);
  return demands;
}

void RateAdmission::OnLeaderTokens(const LeaderTokens& leader_tokens,
                                   TimePoint now) {
  m_leader_last_heard_at = now;
  m_budget.OnGrants(leader_tokens.m_tokens, leader_tokens.m_report_sent_at,
                    now);
  if (leader_tokens.m_report_sent_at < m_answered_report_sent_at) {
    return;  // overtaken by the answer to a later report
  }
  m_answered_report_sent_at = leader_tokens.m_report_sent_at;
  m_equal_share.OnLeaderAnswer(leader_tokens.m_report_sent_at);
  for (const TokenGrant& grant : leader_tokens.m_tokens.m_grants) {
    m_equal_share.OnUseCharged(grant.m_workspace, grant.m_share_charged);
  }
}

std::map<std::string, AdmissionCounts> RateAdmission::TakeCounts() {
  return std::exchange(m_counts, {});
}

}  // namespace foxtail
