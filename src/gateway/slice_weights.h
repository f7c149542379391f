#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "gateway/server_control.h"

namespace foxtail {

/// Shard keys of a service, and slices of equal width in which load is counted.
/// A slice is narrow enough that a few dozen busy keys next to one another lie
/// in several, which can then be given to several servers.
inline constexpr uint32_t kShardKeys = 65536;
inline constexpr uint32_t kSlices = 8192;
inline constexpr uint32_t kKeysPerSlice = kShardKeys / kSlices;

/// Expected share of a service's requests for each slice of keys.
class SliceWeights {
 public:
  /// All keys alike.
  SliceWeights();

  /// `rates` holds a relative figure for each slice; `samples` is the number of
  /// requests that it was measured by. A part of the weight is spread evenly,
  /// because which keys are busy changes.
  SliceWeights(std::span<const float> rates, double samples);

  /// Returns the share of the keys in a range; 1 for all keys.
  double ShareOf(const KeyRange& range) const;

  /// Returns how far a measured share is likely to be off by chance.
  double Uncertainty(double share) const;

 private:
  double CumulativeShare(uint32_t key) const;

  /// Sum of the shares before each slice, and of all at the end.
  std::vector<double> m_cumulative;
  double m_samples = 0;
};

}  // namespace foxtail
