#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/routing_config.h"

namespace foxtail {

/// Distributes a route's requests over its parts in proportion to their
/// weights, by smooth weighted round robin: exact also over few requests.
class TrafficSplitter {
 public:
  /// Returns the service of the next request on a route.
  const std::string& Choose(const RouteRow& route);

 private:
  /// Per route, the balance of each service.
  std::map<std::string, std::map<std::string, int64_t>> m_balances;
};

}  // namespace foxtail
