#include "gateway/scheduling_mode.h"

#include <algorithm>

namespace foxtail {
namespace {

// The load of a deployment whose workspaces have rates is bounded by these.
bool HasRates(const RoutingConfig& config) {
  return std::ranges::any_of(
      config.m_workspaces,
      [](const RoutedWorkspace& workspace) { return workspace.m_rate > 0; });
}

}  // namespace

bool AsksForPermits(SchedulingMode mode, const RoutingConfig& config) {
  return mode == SchedulingMode::kShared ||
         (mode == SchedulingMode::kAuto && !HasRates(config));
}

}  // namespace foxtail
