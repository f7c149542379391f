#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "gateway/server_control.h"

namespace foxtail {

/// Number of shard keys of a service, and of the slices of equal width by which
/// load is counted.
inline constexpr uint32_t kShardKeys = 65536;
inline constexpr uint32_t kSlices = 65536;
inline constexpr uint32_t kKeysPerSlice = kShardKeys / kSlices;

/// Keys that are not split between servers, where a few dozen adjacent hot keys
/// are enough work for several servers only.
inline constexpr uint32_t kCoarseSplitKeys = 8;

/// The same where a few adjacent hot keys overload a server, and each of the
/// requests beyond its slots would be refused.
inline constexpr uint32_t kFineSplitKeys = 1;

/// Expected share of a service's requests for each slice of keys.
class SliceWeights {
 public:
  /// Gives all keys equal weight.
  SliceWeights();

  /// `rates` holds the relative request rate of each slice; `samples` is the
  /// number of requests behind the measurement. A fraction of the weight is
  /// spread evenly, because the hot keys change. Ranges are split between
  /// multiples of `split_keys` keys.
  SliceWeights(std::span<const float> rates,
               double samples,
               uint32_t split_keys = kCoarseSplitKeys);

  uint32_t GetSplitKeys() const { return m_split_keys; }

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
  uint32_t m_split_keys = kCoarseSplitKeys;
};

}  // namespace foxtail
