#pragma once

#include <array>

#include "core/time.h"

namespace foxtail {

/// Relates the store's clock, which its responses tell, to the clock of this
/// process, so that a response that is read late is not taken for a new one.
class StoreClock {
 public:
  /// Records that a call sent at `sent_at` was answered when the store's clock
  /// showed `store_time`.
  void Record(BootTime sent_at, Duration store_time);

  /// Returns a time at or before the one at which the store's clock showed
  /// `store_time`. Later by the drift of the clocks within a minute.
  BootTime FindEarliest(Duration store_time) const;

 private:
  // The largest difference of sending time and store time in the present and in
  // the last period; the true one is no smaller than either.
  std::array<BootTime, 2> m_offsets{BootTime::min(), BootTime::min()};
  BootTime m_period_began_at{};
};

}  // namespace foxtail
