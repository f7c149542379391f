#include "scheduling/error_fraction.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// Weight of a new response.
constexpr double kGain = 0.1;

// Without responses, the fraction halves in this time.
constexpr double kHalfLifeSeconds = 5;

}  // namespace

void ErrorFraction::Add(bool is_error, TimePoint now) {
  const double current = Get(now);
  m_fraction = current + kGain * ((is_error ? 1 : 0) - current);
  m_updated_at = now;
}

double ErrorFraction::Get(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - m_updated_at));
  return m_fraction * std::exp2(-age / kHalfLifeSeconds);
}

}  // namespace foxtail
