#include "gateway/report_schedule.h"

namespace foxtail {

void ReportSchedule::OnReport(TimePoint now) {
  m_last_report_at = now;
  m_answered = false;
  m_tokens_needed = false;
}

void ReportSchedule::OnAnswer(TimePoint report_sent_at) {
  m_answered = m_answered || report_sent_at >= m_last_report_at;
}

TimePoint ReportSchedule::FindNextReport() const {
  Duration interval = m_settings.m_report_period;
  if (m_tokens_needed) {
    interval = m_answered ? m_settings.m_min_report_interval
                          : m_settings.m_report_answer_timeout;
  }
  return m_last_report_at + interval;
}

}  // namespace foxtail
