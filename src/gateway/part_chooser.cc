#include "gateway/part_chooser.h"

#include <cassert>

namespace foxtail {

const std::string& PartChooser::Choose(const RouteRow& route) {
  assert(!route.m_services.empty());
  if (route.m_services.size() == 1) {
    return route.m_services.front().m_service;
  }
  auto& balances = m_balances[route.m_name];
  const WeightedService* chosen = nullptr;
  int64_t total = 0;
  for (const WeightedService& part : route.m_services) {
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
