#pragma once

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace foxtail {

/// Monotonic clock for all decisions. It keeps running while the process is
/// stopped.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Monotonic clock that also counts the time for which the host is suspended.
/// It measures limits that other processes enforce while this process stands
/// still.
struct BootClock {
  using duration = std::chrono::nanoseconds;  // NOLINT: standard names
  using rep = duration::rep;                  // NOLINT
  using period = duration::period;            // NOLINT
  using time_point = std::chrono::time_point<BootClock>;  // NOLINT
  static constexpr bool is_steady = true;                 // NOLINT

  static time_point now() {  // NOLINT
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};
using BootTime = BootClock::time_point;

/// Wall clock, used only for absolute request deadlines and event timestamps.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Returns the current wall time, truncated to milliseconds.
inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

/// Readings of all clocks at one moment, passed as an argument to decisions.
struct Now {
  TimePoint m_steady;
  WallTime m_wall;
  BootTime m_boot{};
};

/// Reads all clocks.
inline Now ReadClocks() {
  return {Clock::now(), WallNow(), BootClock::now()};
}

/// Converts a duration to milliseconds for a message; negative durations count
/// as zero.
inline uint32_t WholeMilliseconds(Duration duration) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max() - 1;
  const auto whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return static_cast<uint32_t>(std::clamp<int64_t>(whole.count(), 0, kMax));
}

/// Converts a duration to seconds as a floating point number.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a duration.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace foxtail
