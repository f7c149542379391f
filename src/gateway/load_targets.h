#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace foxtail {

/// A server that may own keys.
struct PlannedServer {
  std::string m_id;
  uint32_t m_slots = 1;

  /// Time of a request that finds a free slot, in seconds.
  double m_service_seconds = 1;

  /// Share of the service's requests that the server should receive. The
  /// targets of all servers add up to 1.
  double m_target = 0;
};

/// Decides which share of a service's requests each server should receive.
class TargetStrategy {
 public:
  virtual ~TargetStrategy() = default;

  /// Sets the servers' targets. `demand` is in requests per second.
  virtual void SetTargets(std::vector<PlannedServer>& servers,
                          double demand) const = 0;
};

/// Suited to servers close to saturation. Shares are proportional to each
/// server's capacity. This is the baseline that tests compare other strategies
/// with.
class CapacityTargets : public TargetStrategy {
 public:
  void SetTargets(std::vector<PlannedServer>& servers,
                  double demand) const override;
};

/// Suited to servers of unequal speed with free slots. Shares minimize the mean
/// response time over all requests: a slow server receives few requests until
/// queueing at the fast servers takes longer than the slow server does.
class ResponseTimeTargets : public TargetStrategy {
 public:
  void SetTargets(std::vector<PlannedServer>& servers,
                  double demand) const override;
};

}  // namespace foxtail
