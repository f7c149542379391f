#pragma once

namespace foxtail {

/// Estimate of how fast a backend server responds, from the members' reports.
struct SpeedEstimate {
  /// Mean time of a request that found a free slot, in seconds; 0 without
  /// measurements.
  double m_service_seconds = 0;

  /// Mean of the slowdown factor that the server reports about itself: the time
  /// that its work takes relative to normal; 0 if the server reports none.
  double m_slowdown = 0;

  /// Effective number of responses behind the means.
  double m_responses = 0;

  /// Records the means of further responses. A slowdown of 0 means that the
  /// server reported none.
  void Add(double responses, double service_seconds, double slowdown);

  /// Returns the service time to plan with, in seconds. `prior` holds the means
  /// over the service's servers, which outweigh a small number of responses.
  double ExpectedServiceSeconds(const SpeedEstimate& prior) const;
};

}  // namespace foxtail
