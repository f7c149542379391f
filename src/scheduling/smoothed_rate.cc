#include "scheduling/smoothed_rate.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

constexpr double kMeanAgeSeconds = 2;

}  // namespace

void SmoothedRate::Add(TimePoint now) {
  m_weight = Get(now) * kMeanAgeSeconds + 1;
  m_updated_at = now;
}

double SmoothedRate::Get(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - m_updated_at));
  return m_weight * std::exp(-age / kMeanAgeSeconds) / kMeanAgeSeconds;
}

}  // namespace foxtail
