#include "gateway/traffic_splitter.h"

#include <cassert>

namespace foxtail {

const std::string& TrafficSplitter::Choose(const RouteRow& route) {
  assert(!route.m_services.empty());
  if (route.m_services.size() == 1) {
    return route.m_services.front().m_service;
  }
  auto& balances = m_balances[route.m_name];
  const WeightedService* chosen = nullptr;
  int64_t total = 0;
  for (const WeightedService& candidate : route.m_services) {
    balances[candidate.m_service] += candidate.m_weight;
    total += candidate.m_weight;
    if (!chosen ||
        balances[candidate.m_service] > balances[chosen->m_service]) {
      chosen = &candidate;
    }
  }
  balances[chosen->m_service] -= total;
  return chosen->m_service;
}

}  // namespace foxtail
