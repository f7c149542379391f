#pragma once

#include <optional>
#include <string>

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Returns the limit on the requests to a cold server, over all hosts together.
/// The leader issues its tokens like those of a workspace. `cold_rate` is in
/// requests per second.
RoutedWorkspace BuildColdStartLimit(const std::string& server,
                                    double cold_rate);

/// Returns the limit with this name, or nothing if it names no known server
/// that has one.
std::optional<RoutedWorkspace> FindColdStartLimit(const GatewayTables& tables,
                                                  const std::string& name);

}  // namespace foxtail
