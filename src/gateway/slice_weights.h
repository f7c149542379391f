#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "gateway/server_control.h"

namespace foxtail {

/// Number of shard keys of a service, and of the slices of equal width by which
/// load is counted. A slice is narrow enough that a few dozen adjacent hot keys
/// span several slices, which several servers can then own.
inline constexpr uint32_t kShardKeys = 65536;
inline constexpr uint32_t kSlices = 8192;
inline constexpr uint32_t kKeysPerSlice = kShardKeys / kSlices;

/// Expected share of a service's requests for each slice of keys.
class SliceWeights {
 public:
  /// Gives all keys equal weight.
  SliceWeights();

  /// `rates` holds the relative request rate of each slice; `samples` is the
  /// number of requests behind the measurement. A fraction of the weight is
  /// spread evenly, because the hot keys change.
  SliceWeights(std::span<const float> rates, double samples);

  /// Returns the expected share of the requests for a range; 1 for all keys.
  double ShareOf(const KeyRange& range) const;

  /// Returns the likely random error of a measured share; 0 without samples.
  double Uncertainty(double share) const;

 private:
  double CumulativeShare(uint32_t key) const;

  /// Sum of the shares of all slices before each slice; the last element is the
  /// total.
  std::vector<double> m_cumulative;
  double m_samples = 0;
};

}  // namespace foxtail
