#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_tables.h"
#include "runtime/address.h"

namespace foxtail {

/// A backend server as traffic threads see it.
struct RoutedServer {
  std::string m_id;
  Address m_address;
  std::string m_data_centre;
  uint32_t m_slots = 1;
  TimePoint m_cold_until;

  /// Takes new work now. A server that is not may still be sent requests for
  /// keys that it owns until `m_send_until`, while they are moved.
  bool m_eligible = true;
  TimePoint m_send_until;
};

/// Owner of a range of keys as traffic threads see it.
struct RoutedRange {
  KeyRange m_range;
  std::string m_server;
  bool m_grant_confirmed = false;
};

/// Servers and owners of one service.
struct ServiceEndpoints {
  std::map<std::string, RoutedServer> m_servers;

  /// In order of keys; empty for services without shard keys.
  std::vector<RoutedRange> m_ranges;

  /// Returns the range of a key, or null.
  const RoutedRange* FindRange(uint32_t key) const;
};

/// What traffic threads act on; never changed once published.
struct RoutingSnapshot {
  std::shared_ptr<const RouteIndex> m_routes;
  std::map<std::string, ServiceEndpoints> m_endpoints;

  /// Listed members, at least 1.
  size_t m_members = 1;

  /// Returns the service's places, or null.
  const ServiceEndpoints* FindEndpoints(const std::string& service) const;
};

/// Builds a snapshot of the tables.
std::shared_ptr<const RoutingSnapshot> BuildSnapshot(
    const GatewayTables& tables);

}  // namespace foxtail
