#include "gateway/traffic_splitter.h"

#include <cassert>

namespace foxtail {

const std::string& TrafficSplitter::Choose(const RouteRow& route) {
  assert(!route.m_parts.empty());
  if (route.m_parts.size() == 1) {
    return route.m_parts.front().m_service;
  }
  auto& balances = m_balances[route.m_name];
  const RoutePart* chosen = nullptr;
  int64_t total = 0;
  for (const RoutePart& part : route.m_parts) {
    balances[part.m_service] += part.m_weight;
    total += part.m_weight;
    if (!chosen || balances[part.m_service] > balances[chosen->m_service]) {
      chosen = &part;
    }
  }
  balances[chosen->m_service] -= total;
  return chosen->m_service;
}

}  // namespace foxtail
