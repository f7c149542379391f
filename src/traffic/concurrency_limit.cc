#include "traffic/concurrency_limit.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kSmoothing = 0.05;
constexpr double kAdaptation = 1.02;

// A step whose mean latency is below this part of the one before is an
// improvement.
constexpr double kPlateauRatio = 0.8;

// A limit this high exceeds any server's slots: the ramp is over.
constexpr uint32_t kRampEnd = 64;

}  // namespace

RampLimit::RampLimit(const RampSettings& settings) : m_settings(settings) {}

uint32_t RampLimit::Limit(uint32_t slots) const {
  return std::clamp(m_allowed, 1U, slots);
}

void RampLimit::BecomeCold() {
  m_allowed = 1;
  m_answers = 0;
  m_slow = 0;
  m_step_seconds = 0;
  m_last_mean = 0;
}

// A server that still becomes faster from step to step is not warm yet.
bool RampLimit::HasPlateau() {
  const double mean = m_step_seconds / m_answers;
  const bool plateau = m_last_mean > 0 && mean >= m_last_mean * kPlateauRatio;
  m_last_mean = mean;
  m_step_seconds = 0;
  m_answers = 0;
  return plateau;
}

bool RampLimit::IsOver(Duration latency, double ratio) const {
  return m_usual_seconds > 0 && latency > m_settings.m_slow_floor &&
         ToSeconds(latency) > m_usual_seconds * ratio;
}

void RampLimit::OnAnswer(const std::string& instance, Duration latency) {
  if (m_incarnation != instance) {
    m_incarnation = instance;
    BecomeCold();
  }
  const double ratio =
      IsCold() ? m_settings.m_warm_ratio : m_settings.m_slow_ratio;
  if (IsOver(latency, ratio)) {
    // A server that stays slow is accepted as it is in the end.
    m_usual_seconds *= kAdaptation;
    if (!IsCold() && ++m_slow >= m_settings.m_slow_in_row) {
      BecomeCold();
    }
    return;
  }
  m_slow = 0;
  if (!IsCold()) {
    m_usual_seconds += kSmoothing * (ToSeconds(latency) - m_usual_seconds);
    return;
  }
  m_step_seconds += ToSeconds(latency);
  if (++m_answers < m_settings.m_answers_per_step || !HasPlateau()) {
    return;
  }
  m_allowed *= 2;
  if (m_allowed >= kRampEnd) {
    m_allowed = kUnlimited;
    m_usual_seconds = std::max(m_usual_seconds, ToSeconds(latency));
  }
}

void RampLimit::OnRefusal() {
  if (++m_slow >= m_settings.m_slow_in_row) {
    BecomeCold();
  }
}

// A server that was restarted is cold before its first answer can tell.
void RampLimit::OnConnectionLost() {
  BecomeCold();
}

}  // namespace foxtail
