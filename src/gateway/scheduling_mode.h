#pragma once

#include "gateway/gateway_settings.h"
#include "routing/routing_config.h"

namespace foxtail {

/// Returns whether requests need permits in a configuration.
bool AsksForPermits(SchedulingMode mode, const RoutingConfig& config);

}  // namespace foxtail
