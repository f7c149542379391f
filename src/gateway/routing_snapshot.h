#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/equal_share_limiter.h"
#include "gateway/gateway_tables.h"
#include "gateway/routed_rollout.h"
#include "runtime/address.h"
#include "scheduling/group_chooser.h"
#include "scheduling/scheduler_map.h"

namespace foxtail {

/// How long a draining, evacuated or deregistered owner still receives requests
/// for its keys. Moving the keys takes milliseconds, and the limit is well
/// below the time within which new work must cease.
inline constexpr std::chrono::milliseconds kDrainGracePeriod{900};

/// A backend server as the traffic threads see it.
struct RoutedServer {
  std::string m_id;
  int64_t m_incarnation = 0;
  Address m_address;
  std::string m_data_centre;
  std::string m_software_version;
  uint32_t m_slots = 1;
  TimePoint m_cold_until;

  /// Whether the server accepts new work. A server that does not may still
  /// receive requests for keys that it owns until `m_send_until`, while the
  /// keys move.
  bool m_eligible = true;
  TimePoint m_send_until;

  /// Another server has the address.
  bool m_ended = false;
};

/// The owner of a range of shard keys as the traffic threads see it.
struct RoutedRange {
  KeyRange m_range;
  std::string m_server;
  bool m_grant_confirmed = false;
};

/// The backend servers and key ranges of one service.
struct ServiceEndpoints {
  std::map<std::string, RoutedServer> m_servers;

  /// Ordered by key; empty for services without shard keys.
  std::vector<RoutedRange> m_ranges;

  /// The servers by data centre, in groups that are scheduled together.
  std::vector<ServerGroup> m_groups;

  /// Rollout in force; if there is none, all servers may be used.
  std::optional<RoutedRollout> m_rollout;

  /// Returns the range that contains a key, or null.
  const RoutedRange* FindRange(uint32_t key) const;
};

/// The state that traffic threads route by; immutable once published.
struct RoutingSnapshot {
  /// Configuration in force; null until it and the registered gateways have
  /// been read, and while it is known that a newer one was in force before the
  /// store came back from an old copy.
  std::shared_ptr<const RouteIndex> m_routes;
  std::map<std::string, ServiceEndpoints> m_endpoints;

  /// Whether the registered servers have been read.
  bool m_servers_known = false;

  /// Number of registered gateways, at least 1.
  size_t m_member_count = 1;

  /// The gateways that schedule the use of backend servers.
  SchedulerMap m_schedulers;

  /// This gateway's place among them.
  MemberPosition m_position;

  /// Returns the endpoints of a service, or null.
  const ServiceEndpoints* FindEndpoints(const std::string& service) const;
};

/// Returns this process's place among the registered gateways.
MemberPosition FindPosition(const GatewayTables& tables);

/// Builds a snapshot from the control tables.
std::shared_ptr<const RoutingSnapshot> BuildSnapshot(
    const GatewayTables& tables);

}  // namespace foxtail
