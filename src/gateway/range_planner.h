#pragma once

#include <string>
#include <vector>

#include "gateway/load_targets.h"
#include "gateway/slice_weights.h"

namespace foxtail {

/// A range with its present owner, or none when it must be given away.
struct PlannedRange {
  KeyRange m_range;
  std::string m_owner;

  bool operator==(const PlannedRange&) const = default;
};

/// Deals key ranges out to servers. The strategies differ in the load that they
/// answer.
class RangePlanner {
 public:
  virtual ~RangePlanner() = default;

  /// Returns the ranges as they should be owned. Ranges without an owner must
  /// all be given away; others may be split and given away in part.
  virtual std::vector<PlannedRange> Plan(
      std::vector<PlannedRange> ranges,
      const std::vector<PlannedServer>& servers,
      const SliceWeights& weights) const = 0;
};

/// Load pattern: servers come and go under even load. Gives every orphaned
/// range, in pieces, to the servers with most room below their targets, and
/// fills empty servers from the fullest. Moves nothing else.
class FillPlanner : public RangePlanner {
 public:
  std::vector<PlannedRange> Plan(std::vector<PlannedRange> ranges,
                                 const std::vector<PlannedServer>& servers,
                                 const SliceWeights& weights) const override;
};

/// Load pattern: busy keys next to one another that change over the day. Moves
/// pieces from the servers that are furthest above their targets, beyond what
/// chance explains, to those that are furthest below.
class RebalancePlanner : public RangePlanner {
 public:
  std::vector<PlannedRange> Plan(std::vector<PlannedRange> ranges,
                                 const std::vector<PlannedServer>& servers,
                                 const SliceWeights& weights) const override;
};

}  // namespace foxtail
