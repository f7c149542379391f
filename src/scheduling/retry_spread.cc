#include "scheduling/retry_spread.h"

#include <algorithm>

namespace foxtail {
namespace {

// Half of the permits are expected to go to requests that were not refused.
constexpr double kReturningFraction = 0.5;

// A client that returns sooner finds the same queue.
constexpr std::chrono::milliseconds kMinDelay{50};

// Without a measured capacity, this many clients return per second.
constexpr double kDefaultRate = 20;

}  // namespace

std::chrono::milliseconds RetrySpread::Next(PermitQueueRow& queue,
                                            Duration time_left,
                                            TimePoint now,
                                            std::minstd_rand& random) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const Duration limit = std::max(Duration(), time_left / 3);
  const double rate = queue.m_capacity > 0
                          ? queue.m_capacity * kReturningFraction
                          : kDefaultRate;
  const TimePoint earliest = std::max(
      {queue.m_next_return_at, queue.m_open_at, now + Duration(kMinDelay)});
  if (earliest - now <= limit) {
    queue.m_next_return_at = earliest + FromSeconds(1 / rate);
    return duration_cast<milliseconds>(earliest - now);
  }
  // More clients are refused than can be served within their time. The later
  // half of the time is left for those whose turn is known.
  std::uniform_real_distribution<double> fraction(0.5, 1);
  return duration_cast<milliseconds>(limit * fraction(random));
}

}  // namespace foxtail
