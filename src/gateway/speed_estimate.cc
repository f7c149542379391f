#include "gateway/speed_estimate.h"

#include <algorithm>

namespace foxtail {
namespace {

// Bound on the effective number of responses, so that the estimate follows a
// server that becomes faster or slower.
constexpr double kMaxResponses = 25;

// Number of responses that the prior counts for. The standard deviation of a
// request's time is about as large as its mean; the slowdown that servers
// report varies less.
constexpr double kPriorSecondsWeight = 8;
constexpr double kPriorSlowdownWeight = 2;

double BlendWithPrior(double prior,
                      double prior_weight,
                      double measured,
                      double responses) {
  return (prior * prior_weight + measured * responses) /
         (prior_weight + responses);
}

}  // namespace

void SpeedEstimate::Add(double responses,
                        double service_seconds,
                        double slowdown) {
  if (responses <= 0) {
    return;
  }
  m_responses = std::min(m_responses + responses, kMaxResponses);
  const double gain = std::min(1.0, responses / m_responses);
  m_service_seconds += gain * (service_seconds - m_service_seconds);
  m_slowdown += gain * (slowdown - m_slowdown);
}

double SpeedEstimate::ExpectedServiceSeconds(const SpeedEstimate& prior) const {
  if (m_responses <= 0) {
    return prior.m_service_seconds;
  }
  double expected = prior.m_service_seconds;
  if (m_slowdown > 0 && prior.m_slowdown > 0) {
    expected *= BlendWithPrior(prior.m_slowdown, kPriorSlowdownWeight,
                               m_slowdown, m_responses) /
                prior.m_slowdown;
  }
  return BlendWithPrior(expected, kPriorSecondsWeight, m_service_seconds,
                        m_responses);
}

}  // namespace foxtail
