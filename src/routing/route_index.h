#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "routing/routing_config.h"

namespace foxtail {

/// Looks up routes, workspaces and services of one configuration version.
class RouteIndex {
 public:
  explicit RouteIndex(RoutingConfig config);

  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  /// Returns the route of `host` whose prefix is the longest that matches
  /// `path`. Throws `Error(kRouteUnknown)`.
  const RouteRow& Match(std::string_view host, std::string_view path) const;

  /// Returns the workspace that an API key belongs to. Throws
  /// `Error(kApiKeyMissing)` or `Error(kApiKeyUnknown)`.
  const RoutedWorkspace& Authenticate(std::string_view api_key) const;

  /// Returns the service, or null if it is not configured.
  const RoutedService* FindService(const std::string& name) const;

  /// Returns the workspace, or null if it is not configured.
  const RoutedWorkspace* FindWorkspace(const std::string& name) const;

  const RoutingConfig& GetConfig() const { return m_config; }

 private:
  RoutingConfig m_config;

  /// Routes by host name, then by prefix.
  std::unordered_map<std::string, std::map<std::string, const RouteRow*>>
      m_routes;

  /// Workspaces by the digest of an API key.
  std::unordered_map<std::string, const RoutedWorkspace*> m_workspaces_by_key;
  std::unordered_map<std::string, const RoutedWorkspace*> m_workspaces;
  std::unordered_map<std::string, const RoutedService*> m_services;
};

}  // namespace foxtail
