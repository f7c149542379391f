#pragma once

#include "gateway/gateway_settings.h"

namespace foxtail {

/// Decides when a host reports to the leader: periodically, and earlier when
/// requests wait for tokens. An early report waits for the answer to the one
/// before, so that a slow leader is not asked ever more often.
class ReportSchedule {
 public:
  explicit ReportSchedule(const OwnershipSettings& settings)
      : m_settings(settings) {}

  /// A request waits for tokens.
  void OnTokensNeeded() { m_tokens_needed = true; }

  /// A report is sent.
  void OnReport(TimePoint now);

  /// The answer to a report that was sent at `report_sent_at` arrives.
  void OnAnswer(TimePoint report_sent_at);

  /// Returns when the next report is due.
  TimePoint FindNextReport() const;

 private:
  const OwnershipSettings& m_settings;
  TimePoint m_last_report_at;
  bool m_answered = true;
  bool m_tokens_needed = false;
};

}  // namespace foxtail
