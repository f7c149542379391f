#include "gateway/latency_class.h"

#include <algorithm>
#include <cmath>

#include "gateway/rollout_records.h"

namespace foxtail {
namespace {

constexpr double kFirstLimit = 0.002;  // seconds
constexpr double kGrowth = 1.35;

}  // namespace

size_t LatencyClassOf(Duration latency) {
  const double ratio = ToSeconds(latency) / kFirstLimit;
  if (ratio <= 1) {
    return 0;
  }
  const auto above = static_cast<size_t>(std::log(ratio) / std::log(kGrowth));
  return std::min(above + 1, kLatencyClasses - 1);
}

}  // namespace foxtail
