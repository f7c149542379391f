#pragma once

#include "core/time.h"

namespace foxtail {

/// Rate of events, averaged over about the last two seconds.
class SmoothedRate {
 public:
  /// Records an event.
  void Add(TimePoint now);

  /// Returns the rate in events per second.
  double Get(TimePoint now) const;

 private:
  double m_weight = 0;
  TimePoint m_updated_at;
};

}  // namespace foxtail
