#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string m_service;

  /// Share relative to the route's other services, at least 1.
  uint32_t m_weight = 1;
};

/// A route: the requests to one host name whose path begins with a prefix.
struct RouteRow {
  std::string m_name;
  std::string m_host;

  /// Begins and ends with a slash.
  std::string m_prefix;

  /// Why requests of this route cannot be handled; empty if they can. Such a
  /// route still matches its requests, so that no other route takes them.
  std::string m_unusable_reason;

  /// Whether a request may be executed more than once.
  bool m_idempotent = false;

  /// Whether requests are accepted without an API key.
  bool m_public = false;

  /// Maximum time until the final response.
  Duration m_timeout{};

  /// Latency within which a response has its full value to the client.
  Duration m_target_latency{};

  /// Priority among waiting requests; 0 is served first.
  uint32_t m_priority = 0;

  /// Maximum number of servers that one request may be sent to.
  uint32_t m_max_attempts = 1;
  std::vector<WeightedService> m_services;

  /// Services of the route with a weight below 1, which get none of its
  /// requests.
  std::vector<std::string> m_idle_services;
};

/// A service as configured by the operators.
struct RoutedService {
  std::string m_name;

  /// Whether servers own ranges of shard keys.
  bool m_sharded = false;

  /// Maximum connections to one server, from all hosts together.
  uint32_t m_max_connections = 1;

  /// Requests per second that a cold server can serve, from all hosts together;
  /// 0 means no limit.
  double m_cold_rate = 0;
};

/// A workspace (tenant), its API keys and its limits over all hosts together.
struct RoutedWorkspace {
  std::string m_name;

  /// Digests of the workspace's API keys.
  std::vector<std::string> m_key_digests;

  /// Requests per second, and burst in requests; a rate of 0 means no limit.
  double m_rate = 0;
  double m_burst = 0;

  /// Priority that replaces the route's priority if `m_has_priority` is set.
  uint32_t m_priority = 0;
  bool m_has_priority = false;
};

/// Size limits and timeouts of client requests.
struct RequestLimits {
  /// Limits in bytes.
  uint64_t m_header_limit = 16 * 1024;
  uint64_t m_body_limit = 1024 * 1024;
  Duration m_header_timeout = std::chrono::seconds(10);
  Duration m_idle_timeout = std::chrono::seconds(60);
};

/// One version of the operators' configuration.
struct RoutingConfig {
  uint64_t m_version = 0;
  std::vector<RouteRow> m_routes;
  std::vector<RoutedService> m_services;
  std::vector<RoutedWorkspace> m_workspaces;
  RequestLimits m_limits;
};

}  // namespace foxtail
