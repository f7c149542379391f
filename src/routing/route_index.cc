#include "routing/route_index.h"

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {
namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

RouteIndex::RouteIndex(RoutingConfig config) : m_config(std::move(config)) {
  for (const RouteRow& route : m_config.m_routes) {
    m_routes[route.m_host][route.m_prefix] = &route;
  }
  for (const RoutedWorkspace& workspace : m_config.m_workspaces) {
    m_workspaces[workspace.m_name] = &workspace;
    for (const std::string& digest : workspace.m_key_digests) {
      m_workspaces_by_key[digest] = &workspace;
    }
  }
  for (const RoutedService& service : m_config.m_services) {
    m_services[service.m_name] = &service;
  }
}

const RouteRow& RouteIndex::Match(std::string_view host,
                                  std::string_view path) const {
  const auto routes = m_routes.find(std::string(WithoutPort(host)));
  if (routes != m_routes.end()) {
    // Prefixes end with a slash, so a prefix can only end at a slash of the
    // path. The longest candidates are tried first.
    size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
      const auto found =
          routes->second.find(std::string(path.substr(0, slash + 1)));
      if (found != routes->second.end()) {
        return *found->second;
      }
      slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
  }
  throw Error(ErrorCode::kRouteUnknown, std::string(host) + std::string(path));
}

const RoutedWorkspace& RouteIndex::Authenticate(
    std::string_view api_key) const {
  if (api_key.empty()) {
    throw Error(ErrorCode::kApiKeyMissing);
  }
  const auto found = m_workspaces_by_key.find(SecretDigest(api_key));
  if (found == m_workspaces_by_key.end()) {
    throw Error(ErrorCode::kApiKeyUnknown);
  }
  return *found->second;
}

const RoutedService* RouteIndex::FindService(const std::string& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

const RoutedWorkspace* RouteIndex::FindWorkspace(
    const std::string& name) const {
  const auto found = m_workspaces.find(name);
  return found == m_workspaces.end() ? nullptr : found->second;
}

}  // namespace foxtail
