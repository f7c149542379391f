#pragma once

#include <optional>

#include "core/time.h"
#include "scheduling/load_report.h"

namespace foxtail {

/// Estimate of how long a backend server, or a service's servers in the mean,
/// takes for a request that finds a free slot.
class ServerSpeed {
 public:
  /// Records a response and the load that the server reported with it.
  void Add(Duration latency,
           const std::optional<LoadReport>& load,
           TimePoint now);

  /// Returns the expected time in seconds. Without recent measurements it is
  /// `prior`; 0 means that nothing is known.
  double ExpectedSeconds(double prior, TimePoint now) const;

  /// Returns the last reported slowdown, or 1 if none was reported recently.
  double Slowdown(TimePoint now) const;

 private:
  /// Mean time at a slowdown of 1, in seconds; 0 without measurements.
  double m_seconds = 0;
  TimePoint m_measured_at;
  double m_slowdown = 1;
  TimePoint m_slowdown_at;
};

}  // namespace foxtail
