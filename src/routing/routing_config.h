#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string m_service;

  /// Share relative to the other parts, at least 1.
  uint32_t m_weight = 1;
};

/// A route: requests of one host whose path begins with a prefix.
struct RouteRow {
  std::string m_name;
  std::string m_host;

  /// Begins and ends with a slash.
  std::string m_prefix;

  /// Whether a request may run more than once.
  bool m_idempotent = false;

  /// Whether requests need no API key.
  bool m_public = false;

  /// Longest time until the final answer.
  Duration m_timeout{};

  /// Answers within this time have their full worth to the client.
  Duration m_target_latency{};

  /// Rank among requests that wait; 0 goes first.
  uint32_t m_priority = 0;

  /// Most servers that one request may be sent to.
  uint32_t m_max_attempts = 1;
  std::vector<WeightedService> m_services;
};

/// A service as operators configured it.
struct RoutedService {
  std::string m_name;

  /// Whether servers own ranges of shard keys.
  bool m_sharded = false;

  /// Most connections to one server, from all hosts together.
  uint32_t m_max_connections = 1;

  /// Requests a second that a cold server bears, from all hosts together; 0
  /// means no limit.
  double m_cold_rate = 0;
};

/// A workspace, its API keys and its limits over all hosts together.
struct RoutedWorkspace {
  std::string m_name;

  /// Digests of its API keys.
  std::vector<std::string> m_key_digests;

  /// Requests a second and burst; a rate of 0 means no limit.
  double m_rate = 0;
  double m_burst = 0;

  /// Rank that goes before the routes', if `m_has_priority`.
  uint32_t m_priority = 0;
  bool m_has_priority = false;
};

/// What a client may send and how long it may take.
struct RequestLimits {
  /// Bytes.
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
