#include "gateway/slice_weights.h"

#include <cmath>
#include <numeric>

namespace foxtail {
namespace {

// Part of the weight that is spread evenly over all keys.
constexpr double kEvenPart = 0.2;

// Standard deviations by which a count is taken to be off: one server in
// hundreds then looks busier than it is.
constexpr double kDeviations = 2.5;

}  // namespace

SliceWeights::SliceWeights() : m_before(kSlices + 1) {
  for (uint32_t i = 0; i <= kSlices; ++i) {
    m_before[i] = static_cast<double>(i) / kSlices;
  }
}

SliceWeights::SliceWeights(std::span<const float> rates, double samples)
    : SliceWeights() {
  const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
  if (total <= 0) {
    return;
  }
  m_samples = samples;
  double before = 0;
  for (uint32_t i = 0; i < kSlices; ++i) {
    m_before[i] = before;
    before += kEvenPart / kSlices + (1 - kEvenPart) * rates[i] / total;
  }
  m_before[kSlices] = before;
}

double SliceWeights::Before(uint32_t key) const {
  const uint32_t slice = key / kKeysPerSlice;
  if (slice >= kSlices) {
    return m_before[kSlices];
  }
  const double part = static_cast<double>(key % kKeysPerSlice) / kKeysPerSlice;
  return m_before[slice] + part * (m_before[slice + 1] - m_before[slice]);
}

double SliceWeights::Of(const KeyRange& range) const {
  return Before(range.m_last + 1) - Before(range.m_first);
}

double SliceWeights::Uncertainty(double share) const {
  return m_samples <= 0 ? 0 : kDeviations * std::sqrt(share / m_samples);
}

}  // namespace foxtail
