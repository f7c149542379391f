#pragma once

#include <chrono>

#include "core/time.h"

namespace foxtail {

/// Settings of an `OutageDetector`.
struct OutageDetectorSettings {
  /// Registrations lapse only if the store has been away for this long: they
  /// are removed after three intervals without a report, and reports come about
  /// every 0.9 s.
  Duration m_min_duration = std::chrono::milliseconds(1500);
};

/// Tells outages of the store, in which registrations may lapse, from times in
/// which only this process could not reach it. Reads no clock.
class OutageDetector {
 public:
  explicit OutageDetector(const OutageDetectorSettings& settings = {})
      : m_settings(settings) {}

  /// Records that the store has answered this process or another one. Returns
  /// whether an outage has ended with that.
  bool OnAnswer(TimePoint at);

  /// Records that the store has not answered this process.
  void OnFailure() { m_failing = true; }

  /// Returns when the store last answered; unset if it never has.
  TimePoint GetLastAnswer() const { return m_last_answer_at; }

 private:
  OutageDetectorSettings m_settings;
  TimePoint m_last_answer_at;
  bool m_failing = false;
};

}  // namespace foxtail
