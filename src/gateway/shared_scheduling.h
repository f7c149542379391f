#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_settings.h"
#include "gateway/routing_snapshot.h"
#include "runtime/cancellation.h"
#include "scheduling/group_chooser.h"
#include "scheduling/permit_link.h"

namespace foxtail {

/// A request that needs a permit.
struct PermitQuery {
  std::string m_service;

  /// The owner of the request's key; null if any server can run the request.
  const RoutedServer* m_owner = nullptr;
  uint32_t m_priority = 0;
  TimePoint m_deadline;
  TimePoint m_target_at;
  bool m_returning = false;

  /// Servers that the request was at already.
  std::set<std::string> m_tried_servers;
  std::shared_ptr<Cancellation> m_cancellation;

  /// Asked while the request waits; it stops waiting when this returns false.
  std::function<bool()> m_still_wanted;
};

/// Answer to a `PermitQuery`.
struct PermitAnswer {
  /// `kQueued` if the request stopped waiting.
  PermitState m_state = PermitState::kUnavailable;
  PermitTicket m_ticket = 0;

  /// The server to send to, if granted.
  std::string m_server;

  /// When to come back, if refused.
  Duration m_retry_after{};
};

/// Connects the request path with the schedulers of all hosts: finds out who
/// schedules a server, and chooses among the groups of servers of a service.
class SharedScheduling {
 public:
  SharedScheduling(const GatewaySettings& settings,
                   std::function<void(const std::string&)> on_failure);

  /// Opens the socket; may block the calling fiber.
  void Start() { m_link.Start(); }

  /// Stops scheduling for other hosts.
  void StopScheduling() { m_link.StopScheduling(); }

  void OnSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot);

  /// Returns whether the settings or the configuration ask for permits.
  bool IsOn() const { return m_on; }

  /// Waits for a permit. An answer of `kGranted` must be followed by `Return`.
  PermitAnswer Acquire(const PermitQuery& query);

  /// Returns a permit with what the exchange showed.
  void Return(PermitTicket ticket, const PermitReturn& outcome) {
    m_link.End(ticket, outcome);
  }

  std::vector<PermitCounts> TakeCounts() { return m_link.TakeCounts(); }
  size_t CountOpen() const { return m_link.CountOpen(); }

 private:
  bool IsAmongSchedulers(const std::string& key,
                         const std::string& data_centre,
                         double weight_exponent) const;
  void RegisterServers(const std::string& service,
                       const ServiceEndpoints& endpoints);
  PermitAnswer Ask(const PermitQuery& query,
                   const std::string& data_centre,
                   uint32_t group,
                   const std::string& key,
                   double weight_exponent,
                   Duration& expected_wait);
  PermitAnswer AskOwner(const PermitQuery& query);
  PermitAnswer AskGroups(const PermitQuery& query);

  SchedulingMode m_mode;
  bool m_on = false;
  PermitLink m_link;
  GroupChooser m_chooser;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;

  /// The servers of each service that this host schedules.
  std::map<std::string, std::vector<SchedulableServer>> m_registered;
};

}  // namespace foxtail
