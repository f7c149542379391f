#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_settings.h"
#include "gateway/permit_source.h"
#include "scheduling/group_chooser.h"
#include "scheduling/permit_link.h"

namespace foxtail {

/// Connects the request path with the schedulers of all hosts: finds out who
/// schedules a server, and chooses among the groups of servers of a service.
class SharedScheduling : public PermitSource {
 public:
  SharedScheduling(const GatewaySettings& settings,
                   std::function<void(const std::string&)> on_failure);

  /// Opens the socket; may block the calling fiber.
  void Start() { m_link.Start(); }

  /// Stops scheduling for other hosts.
  void StopScheduling() { m_link.StopScheduling(); }

  void OnSnapshot(
      const std::shared_ptr<const RoutingSnapshot>& snapshot) override;
  bool IsOn() const override { return m_on; }
  PermitAnswer Acquire(const PermitQuery& query) override;
  void Return(PermitTicket ticket, const PermitReturn& outcome) override {
    m_link.End(ticket, outcome);
  }
  std::vector<PermitCounts> TakeCounts() override {
    return m_link.TakeCounts();
  }
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
