#include "gateway/slice_weights.h"

#include <cmath>
#include <numeric>

namespace foxtail {
namespace {

// Fraction of the weight that is spread evenly over all keys.
constexpr double kUniformFraction = 0.2;

// Number of standard deviations that counts as random variation. Only one
// server in hundreds then appears more loaded than it is.
constexpr double kDeviations = 2.5;

}  // namespace

SliceWeights::SliceWeights() : m_cumulative(kSlices + 1) {
  for (uint32_t i = 0; i <= kSlices; ++i) {
    m_cumulative[i] = static_cast<double>(i) / kSlices;
  }
}

SliceWeights::SliceWeights(std::span<const float> rates,
                           double samples,
                           uint32_t split_keys)
    : SliceWeights() {
  m_split_keys = split_keys;
  const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
  if (total <= 0) {
    return;
  }
  m_samples = samples;
  double sum = 0;
  for (uint32_t i = 0; i < kSlices; ++i) {
    m_cumulative[i] = sum;
    sum +=
        kUniformFraction / kSlices + (1 - kUniformFraction) * rates[i] / total;
  }
  m_cumulative[kSlices] = sum;
}

double SliceWeights::CumulativeShare(uint32_t key) const {
  const uint32_t slice = key / kKeysPerSlice;
  if (slice >= kSlices) {
    return m_cumulative[kSlices];
  }
  const double fraction =
      static_cast<double>(key % kKeysPerSlice) / kKeysPerSlice;
  return m_cumulative[slice] +
         fraction * (m_cumulative[slice + 1] - m_cumulative[slice]);
}

double SliceWeights::ShareOf(const KeyRange& range) const {
  return CumulativeShare(range.m_last + 1) - CumulativeShare(range.m_first);
}

double SliceWeights::Uncertainty(double share) const {
  return m_samples <= 0 ? 0 : kDeviations * std::sqrt(share / m_samples);
}

}  // namespace foxtail
