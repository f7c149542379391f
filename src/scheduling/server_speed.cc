#include "scheduling/server_speed.h"

#include <algorithm>

namespace foxtail {
namespace {

// Weight of a new response in the mean.
constexpr double kGain = 0.15;

// Slow phases last for seconds. An older report must not keep requests away
// from a server that has recovered.
constexpr std::chrono::seconds kSlowdownAge{3};

// A mean without new responses for this long is not used. It would never be
// corrected if it were so long that all requests are refused.
constexpr std::chrono::seconds kMeasurementAge{10};

constexpr double kMaxSlowdown = 20;

}  // namespace

void ServerSpeed::Add(Duration latency,
                      const std::optional<LoadReport>& load,
                      TimePoint now) {
  if (load && load->m_slowdown) {
    m_slowdown = std::clamp(*load->m_slowdown, 1 / kMaxSlowdown, kMaxSlowdown);
    m_slowdown_at = now;
  }
  // A response from a server with a queue includes time in that queue.
  const bool has_queue = load && load->m_waiting > 0;
  const bool is_stale = m_seconds <= 0 || now - m_measured_at > kMeasurementAge;
  if (has_queue && !is_stale) {
    return;
  }
  double seconds = ToSeconds(latency) / Slowdown(now);
  if (has_queue) {
    seconds *=
        static_cast<double>(load->m_slots) / (load->m_slots + load->m_waiting);
  }
  m_seconds = is_stale ? seconds : m_seconds + kGain * (seconds - m_seconds);
  m_measured_at = now;
}

double ServerSpeed::ExpectedSeconds(double prior, TimePoint now) const {
  const bool is_known = m_seconds > 0 && now - m_measured_at <= kMeasurementAge;
  return (is_known ? m_seconds : prior) * Slowdown(now);
}

double ServerSpeed::Slowdown(TimePoint now) const {
  return now - m_slowdown_at <= kSlowdownAge ? m_slowdown : 1;
}

}  // namespace foxtail
