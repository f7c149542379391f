#pragma once

#include <chrono>
#include <random>

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Decides when refused clients come back. Answers the load of clients that
/// are refused together and would return together.
class RetrySpread {
 public:
  /// Returns the time after which the next refused client of a queue should
  /// come back: one after another at the rate at which permits are expected,
  /// within a third of the time that the client has left.
  static std::chrono::milliseconds Next(PermitQueueRow& queue,
                                        Duration time_left,
                                        TimePoint now,
                                        std::minstd_rand& random);
};

}  // namespace foxtail
