#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace foxtail {

/// A server that may own keys.
struct PlannedServer {
  std::string m_id;
  uint32_t m_slots = 1;

  /// Time of a request that finds a free slot, seconds.
  double m_service_seconds = 1;

  /// Share of the service's requests that it should get; 1 over all servers.
  double m_target = 0;
};

/// Decides which share of a service's requests each server should get.
class TargetStrategy {
 public:
  virtual ~TargetStrategy() = default;

  /// Sets the servers' targets. `demand` is in requests a second.
  virtual void SetTargets(std::vector<PlannedServer>& servers,
                          double demand) const = 0;
};

/// Load pattern: servers close to saturation. Shares in proportion to what
/// each server can answer at most. The baseline.
class CapacityTargets : public TargetStrategy {
 public:
  void SetTargets(std::vector<PlannedServer>& servers,
                  double demand) const override;
};

/// Load pattern: servers of unequal speed with slots to spare. Shares with the
/// lowest mean response time over all requests: a slow server gets few keys
/// until the fast ones are so busy that waiting there costs more.
class ResponseTimeTargets : public TargetStrategy {
 public:
  void SetTargets(std::vector<PlannedServer>& servers,
                  double demand) const override;
};

}  // namespace foxtail
