#include "gateway/rollout_judge.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace foxtail {
namespace {

// Steps by their places in `RolloutSettings::m_shares`.
constexpr size_t kFirstStep = 0;
constexpr size_t kTrialStep = 1;
constexpr size_t kLastStep =
    std::tuple_size_v<decltype(RolloutSettings::m_shares)> - 1;

Duration PartOf(double part, Duration whole) {
  return std::chrono::duration_cast<Duration>(part * whole);
}

}  // namespace

RolloutJudge::RolloutJudge(const RolloutRecord& record,
                           Duration period,
                           bool sharded)
    : m_period(period),
      m_sharded(sharded),
      m_requests(record.m_requests),
      m_target_requests(record.m_target_requests) {
  assert(period > Duration(0));
}

void RolloutJudge::StartStep(const RolloutRecord& record, TimePoint now) {
  m_step = std::min<size_t>(record.m_step, kLastStep);
  m_share = record.m_share;
  m_step_started_at = now;
  m_of_step.Clear();
  if (m_began_at == TimePoint()) {
    m_began_at = now;
    m_last_added_at = now;
    m_window_started_at = now;
  }
}

void RolloutJudge::Add(const RolloutCounts& seen,
                       bool is_first,
                       TimePoint now) {
  m_requests += seen.m_requests;
  m_target_requests += seen.m_target_requests;
  for (const RouteCounts& counts : seen.m_routes) {
    m_baseline.Add(counts);
    m_total.Add(counts);
  }
  if (is_first) {
    return;
  }
  AdvanceWindows(now);
  m_timed_requests += seen.m_requests;
  m_last_added_at = now;
  for (const RouteCounts& counts : seen.m_routes) {
    m_windows.front().Add(counts);
    m_since_suspicion.Add(counts);
    if (seen.m_step == m_step) {
      m_of_step.Add(counts);
    }
  }
}

void RolloutJudge::AdvanceWindows(TimePoint now) {
  if (now - m_window_started_at >= m_settings.m_window) {
    m_windows.back() = std::exchange(m_windows.front(), {});
    m_window_started_at = now;
  }
}

double RolloutJudge::RequestRate() const {
  const double seconds = ToSeconds(m_last_added_at - m_began_at);
  return seconds > 0 ? static_cast<double>(m_timed_requests) / seconds : 0;
}

Duration RolloutJudge::StepTime() const {
  return std::max(m_sharded ? m_settings.m_min_sharded_step_time
                            : m_settings.m_min_step_time,
                  PartOf(m_settings.m_step_part, m_period));
}

Duration RolloutJudge::LastStepReserve() const {
  return m_sharded ? m_settings.m_sharded_last_step_reserve
                   : m_settings.m_last_step_reserve;
}

// Returns the time since the order at which a step must end, so that those
// after it fit in.
Duration RolloutJudge::LatestEndOf(size_t step) const {
  const Duration end = PartOf(m_settings.m_latest_end_part, m_period);
  if (step == kLastStep) {
    return end;
  }
  const auto steps_between = static_cast<int>(kLastStep - 1 - step);
  return end - LastStepReserve() - steps_between * StepTime();
}

// A service with few requests gets a larger share: otherwise nothing would
// reach the version within the period. The extra requests are part of the
// allowance.
double RolloutJudge::TrialShare() const {
  const double share = m_settings.m_shares[kTrialStep];
  const double requests =
      RequestRate() *
      std::max(1.0, ToSeconds(PartOf(m_settings.m_trial_part, m_period)));
  if (requests * m_settings.m_max_trial_share <= m_settings.m_trial_requests) {
    return m_settings.m_max_trial_share;
  }
  return std::min(m_settings.m_max_trial_share,
                  share + m_settings.m_trial_requests / requests);
}

// Returns whether the version can go through all further steps, and turn out to
// be bad in the last one, within the allowance.
bool RolloutJudge::HasExposureLeft(Duration elapsed) const {
  const double rate = RequestRate();
  const double expected =
      rate * ToSeconds(std::max(Duration(0), m_period - elapsed));
  const double allowed =
      m_settings.m_exposure_part * (static_cast<double>(m_requests) +
                                    m_settings.m_expected_part * expected) +
      m_settings.m_exposure_extra;
  double exposure = static_cast<double>(m_target_requests) +
                    m_share * rate * ToSeconds(m_settings.m_blind_time);
  for (size_t step = kTrialStep + 1; step < kLastStep; ++step) {
    exposure += m_settings.m_shares[step] * rate * ToSeconds(StepTime());
  }
  exposure += rate * ToSeconds(m_settings.m_detection_time);
  return exposure <= allowed;
}

bool RolloutJudge::IsTrialOver(const RolloutProgress& progress) const {
  if (progress.m_elapsed >= LatestEndOf(kTrialStep)) {
    return true;
  }
  return progress.m_elapsed >= PartOf(m_settings.m_trial_part, m_period) &&
         m_total.CountTarget() >= m_settings.m_trial_evidence &&
         HasExposureLeft(progress.m_elapsed);
}

bool RolloutJudge::IsStepOver(const RolloutProgress& progress,
                              TimePoint now) const {
  if (!progress.m_applied) {
    return false;
  }
  const Duration lasted = now - m_step_started_at;
  const bool known = m_of_step.CountTarget() >= m_settings.m_step_evidence ||
                     progress.m_elapsed >= LatestEndOf(m_step);
  switch (m_step) {
    case kFirstStep:
      return lasted >= std::min(m_settings.m_first_step_time,
                                PartOf(m_settings.m_first_step_part, m_period));
    case kTrialStep:
      return IsTrialOver(progress);
    case kLastStep:
      return progress.m_others_idle && known &&
             lasted >= m_settings.m_min_last_step_time;
    default:
      return known && lasted >= StepTime();
  }
}

std::optional<RolloutFault> RolloutJudge::FindFault() const {
  const bool alone = m_step == kLastStep;
  RolloutEvidence newest = m_windows.front();
  newest.Add(m_windows.back());
  const std::array<const RolloutEvidence*, 3> all = {&m_total, &m_of_step,
                                                     &newest};
  for (const RolloutEvidence* evidence : all) {
    if (auto fault = evidence->FindFault(m_settings, m_baseline, alone)) {
      return fault;
    }
  }
  return std::nullopt;
}

// Drops a suspicion, and the evidence for it, that later responses refute.
bool RolloutJudge::IsConfirmed(const RolloutFault& fault, TimePoint now) {
  const bool failures = fault.m_kind == FaultKind::kFailures;
  if (fault.m_bad >=
      (failures ? m_settings.m_certain_failures : m_settings.m_certain_slow)) {
    return true;
  }
  if (!m_suspicion) {
    m_suspicion = Suspicion{fault, now};
    m_since_suspicion.Clear();
    return false;
  }
  if (now - m_suspicion->m_since < (failures
                                        ? m_settings.m_failure_confirmation
                                        : m_settings.m_latency_confirmation)) {
    return false;
  }
  const RolloutFault& suspected = m_suspicion->m_fault;
  const RolloutFault since =
      m_since_suspicion.CountBad(m_settings, m_baseline, suspected);
  const double expected = m_settings.m_confirmed_part *
                          static_cast<double>(suspected.m_bad) /
                          suspected.m_responses * since.m_responses;
  if (since.m_bad > 0 && since.m_bad >= expected) {
    return true;
  }
  if (since.m_responses >= m_settings.m_clean_responses) {
    m_suspicion.reset();
    m_total.Clear();
    m_of_step.Clear();
    m_windows = {};
  }
  return false;
}

RolloutDecision RolloutJudge::Decide(const RolloutProgress& progress,
                                     TimePoint now) {
  if (const auto fault = FindFault()) {
    if (IsConfirmed(*fault, now)) {
      return {RolloutVerdict::kRollBack, 0, *fault};
    }
    return {};
  }
  m_suspicion.reset();
  if (!IsStepOver(progress, now)) {
    return {};
  }
  if (m_step == kLastStep) {
    return {RolloutVerdict::kComplete, 1, {}};
  }
  const double share =
      m_step == kFirstStep ? TrialShare() : m_settings.m_shares[m_step + 1];
  return {RolloutVerdict::kNextStep, std::max(share, m_share), {}};
}

}  // namespace foxtail
