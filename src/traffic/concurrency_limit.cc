#include "traffic/concurrency_limit.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kBaselineSmoothing = 0.05;
constexpr double kBaselineGrowth = 1.02;

// A step whose mean latency is below this fraction of the previous step's mean
// is an improvement.
constexpr double kPlateauRatio = 0.8;

// A limit this high exceeds the slots of any server, so the ramp is complete.
constexpr uint32_t kRampEndLimit = 64;

}  // namespace

RampLimit::RampLimit(const RampSettings& settings) : m_settings(settings) {}

uint32_t RampLimit::Limit(uint32_t slots) const {
  return std::clamp(m_current_limit, 1U, slots);
}

void RampLimit::BecomeCold() {
  m_current_limit = 1;
  m_step_responses = 0;
  m_slow_streak = 0;
  m_step_seconds = 0;
  m_previous_step_mean = 0;
}

// A server whose latency still improves from step to step is not warm yet.
bool RampLimit::FinishStep() {
  const double mean = m_step_seconds / m_step_responses;
  const bool plateau =
      m_previous_step_mean > 0 && mean >= m_previous_step_mean * kPlateauRatio;
  m_previous_step_mean = mean;
  m_step_seconds = 0;
  m_step_responses = 0;
  return plateau;
}

bool RampLimit::ExceedsBaseline(Duration latency, double ratio) const {
  return m_baseline_seconds > 0 && latency > m_settings.m_min_slow_latency &&
         ToSeconds(latency) > m_baseline_seconds * ratio;
}

void RampLimit::OnResponse(const std::string& incarnation, Duration latency) {
  if (m_incarnation != incarnation) {
    m_incarnation = incarnation;
    BecomeCold();
  }
  const double ratio =
      IsCold() ? m_settings.m_warm_ratio : m_settings.m_slow_ratio;
  if (ExceedsBaseline(latency, ratio)) {
    // The baseline rises with each slow response, so that a server that stays
    // slow is eventually treated as warm at its new latency.
    m_baseline_seconds *= kBaselineGrowth;
    if (!IsCold() && ++m_slow_streak >= m_settings.m_slow_streak_limit) {
      BecomeCold();
    }
    return;
  }
  m_slow_streak = 0;
  if (!IsCold()) {
    m_baseline_seconds +=
        kBaselineSmoothing * (ToSeconds(latency) - m_baseline_seconds);
    return;
  }
  m_step_seconds += ToSeconds(latency);
  if (++m_step_responses < m_settings.m_responses_per_step || !FinishStep()) {
    return;
  }
  m_current_limit *= 2;
  if (m_current_limit >= kRampEndLimit) {
    m_current_limit = kNoLimit;
    m_baseline_seconds = std::max(m_baseline_seconds, ToSeconds(latency));
  }
}

void RampLimit::OnRefusal() {
  if (++m_slow_streak >= m_settings.m_slow_streak_limit) {
    BecomeCold();
  }
}

// A broken connection can mean a restart, and a restarted server is cold before
// its first response can show a new incarnation.
void RampLimit::OnConnectionLost() {
  BecomeCold();
}

}  // namespace foxtail
