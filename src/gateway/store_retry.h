#pragma once

#include <random>

#include "core/time.h"

namespace foxtail {

/// Settings of a `StoreRetry`.
struct StoreRetrySettings {
  /// Delay after the first failure; it doubles with each further one.
  Duration m_first_delay = std::chrono::milliseconds(150);

  /// Longest delay. Well below the time within which hosts that reach the store
  /// again must follow it, since a try may have to wait for a timeout first.
  Duration m_max_delay = std::chrono::milliseconds(500);
};

/// Decides when a process whose reads of the store fail may read again. Answers
/// an outage in which every host retries each of its watches: while reads fail,
/// one table at a time is tried for all, ever more rarely, and at other times
/// than on other hosts.
class StoreRetry {
 public:
  StoreRetry(const StoreRetrySettings& settings, uint32_t seed);

  /// Returns whether a read may be sent now. While reads fail, the caller that
  /// gets the permission is the only one until the next delay has passed.
  bool TakeTry(TimePoint now);

  /// Returns when a read may be sent next.
  TimePoint GetNextTry() const { return m_next_try_at; }

  bool IsFailing() const { return m_failures > 0; }
  void OnFailure(TimePoint now);
  void OnSuccess();

 private:
  Duration NextDelay();

  StoreRetrySettings m_settings;
  std::minstd_rand m_random;
  int m_failures = 0;
  TimePoint m_next_try_at;
};

}  // namespace foxtail
