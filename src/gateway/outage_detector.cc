#include "gateway/outage_detector.h"

namespace foxtail {

// Silence alone is no outage: a process that has no reason to call the store
// gets no answers.
bool OutageDetector::OnAnswer(TimePoint at) {
  if (at <= m_last_answer_at) {
    return false;
  }
  const bool outage =
      m_failing && (m_last_answer_at == TimePoint() ||
                    at - m_last_answer_at >= m_settings.m_min_duration);
  m_last_answer_at = at;
  m_failing = false;
  return outage;
}

}  // namespace foxtail
