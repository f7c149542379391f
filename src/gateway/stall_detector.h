#pragma once

#include <optional>

#include "core/time.h"

namespace foxtail {

/// Times of a `StallDetector`.
struct StallDetectorSettings {
  /// A thread that has not run its fibers for this long counts as stalled. By
  /// then the load balancer, which checks the readiness each second and allows
  /// for one miss, has taken the host out.
  Duration m_threshold = std::chrono::seconds(3);

  /// Interval between checks.
  Duration m_check_interval = std::chrono::seconds(1);
};

/// Tells when a thread has stopped running its fibers, and when it goes on.
/// Reads no clock.
class StallDetector {
 public:
  /// Beginning or end of a stall.
  struct Change {
    bool m_stalled = false;

    /// For how long the thread has not run, up to now or up to its return.
    Duration m_silence{};
  };

  explicit StallDetector(const StallDetectorSettings& settings = {})
      : m_settings(settings) {}

  /// Compares when the thread last ran with the time now. Returns what has
  /// changed since the last check, if anything.
  std::optional<Change> Check(TimePoint last_run_at, TimePoint now);

  const StallDetectorSettings& GetSettings() const { return m_settings; }

 private:
  StallDetectorSettings m_settings;
  std::optional<TimePoint> m_last_check_at;

  /// The silence is counted from here at the earliest.
  TimePoint m_counted_from;

  /// When the thread last ran before the current stall; unset if there is none.
  std::optional<TimePoint> m_stalled_since;
};

}  // namespace foxtail
