#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/routing_config.h"

namespace foxtail {

/// Splits a route's requests between its weighted services by smooth weighted
/// round robin, which keeps the proportions exact even over few requests.
class TrafficSplitter {
 public:
  /// Returns the service that receives the route's next request.
  const std::string& Choose(const RouteRow& route);

 private:
  /// Current round-robin balance of each service, by route and service name.
  std::map<std::string, std::map<std::string, int64_t>> m_balances;
};

}  // namespace foxtail
