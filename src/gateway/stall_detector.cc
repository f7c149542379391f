#include "gateway/stall_detector.h"

#include <algorithm>

namespace foxtail {

std::optional<StallDetector::Change> StallDetector::Check(TimePoint last_run_at,
                                                          TimePoint now) {
  // If the checks themselves were late, the whole process stood still, and the
  // thread may be about to run.
  if (!m_last_check_at ||
      now - *m_last_check_at > 2 * m_settings.m_check_interval) {
    m_counted_from = now;
  }
  m_last_check_at = now;
  if (m_stalled_since) {
    if (last_run_at <= *m_stalled_since) {
      return std::nullopt;
    }
    const TimePoint since = *m_stalled_since;
    m_stalled_since.reset();
    return Change{false, last_run_at - since};
  }
  if (now - std::max(last_run_at, m_counted_from) < m_settings.m_threshold) {
    return std::nullopt;
  }
  m_stalled_since = last_run_at;
  return Change{true, now - last_run_at};
}

}  // namespace foxtail
