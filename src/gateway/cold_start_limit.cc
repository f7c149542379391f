#include "gateway/cold_start_limit.h"

#include <algorithm>
#include <string_view>

namespace foxtail {
namespace {

// Begins the names of these limits. Workspaces have no blanks in their names.
constexpr std::string_view kNamePrefix = "cold server ";

// Requests that may follow one another at once: half a second of the rate.
constexpr double kBurstSeconds = 0.5;
constexpr double kMinBurst = 2;  // requests

}  // namespace

RoutedWorkspace BuildColdStartLimit(const std::string& server,
                                    double cold_rate) {
  RoutedWorkspace limit;
  limit.m_name = std::string(kNamePrefix) + server;
  limit.m_rate = cold_rate;
  limit.m_burst = std::max(kMinBurst, cold_rate * kBurstSeconds);
  return limit;
}

std::optional<RoutedWorkspace> FindColdStartLimit(const GatewayTables& tables,
                                                  const std::string& name) {
  if (!name.starts_with(kNamePrefix) || !tables.m_routes) {
    return std::nullopt;
  }
  const std::string id = name.substr(kNamePrefix.size());
  const ServerRow* server = FindServer(tables, id);
  const RoutedService* service =
      server ? tables.m_routes->FindService(server->m_entry.m_service)
             : nullptr;
  if (!service || service->m_cold_rate <= 0) {
    return std::nullopt;
  }
  return BuildColdStartLimit(id, service->m_cold_rate);
}

}  // namespace foxtail
