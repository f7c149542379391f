#pragma once

namespace foxtail {

/// How fast a backend server answers, from members' reports.
struct SpeedEstimate {
  /// Mean time of a request that found a free slot, seconds; 0 if not known.
  double m_service_seconds = 0;

  /// Mean of how long work takes there relative to usual, as the server says;
  /// 0 if it does not.
  double m_slowdown = 0;

  /// Answers that the means stand for.
  double m_responses = 0;

  /// Takes in the means of some more answers. A slowdown of 0 is not known.
  void Add(double responses, double service_seconds, double slowdown);

  /// Returns the time to plan with, given the means over the service's servers.
  /// Few answers say little, so they count less than what is usual.
  double ExpectedServiceSeconds(const SpeedEstimate& prior) const;
};

}  // namespace foxtail
