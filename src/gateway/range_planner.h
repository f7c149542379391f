#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/load_targets.h"
#include "gateway/slice_weights.h"

namespace foxtail {

/// A range and its owner; the owner is empty if the range needs a new one.
struct PlannedRange {
  KeyRange m_range;
  std::string m_owner;

  bool operator==(const PlannedRange&) const = default;
};

/// Assigns key ranges to servers. Each strategy is suited to another kind of
/// load.
class RangePlanner {
 public:
  virtual ~RangePlanner() = default;

  /// Returns the planned owners of all keys, sorted by key. Every range without
  /// an owner must be assigned; other ranges may be split and moved in part.
  virtual std::vector<PlannedRange> Plan(
      std::vector<PlannedRange> ranges,
      const std::vector<PlannedServer>& servers,
      const SliceWeights& weights) const = 0;
};

/// Suited to servers that register and deregister under even load. Splits every
/// range without an owner among the servers with the most headroom below their
/// targets, and fills servers without load from those with the least headroom.
/// Moves nothing else.
class FillPlanner : public RangePlanner {
 public:
  std::vector<PlannedRange> Plan(std::vector<PlannedRange> ranges,
                                 const std::vector<PlannedServer>& servers,
                                 const SliceWeights& weights) const override;
};

/// Suited to adjacent hot keys that change over the day. Moves pieces of ranges
/// from the servers that are furthest above their targets, by more than random
/// variation explains, to the servers that are furthest below.
class RebalancePlanner : public RangePlanner {
 public:
  /// Each move pauses requests for its keys for a moment. All moves of one plan
  /// are recorded in the store together.
  explicit RebalancePlanner(uint32_t max_moves = 8) : m_max_moves(max_moves) {}

  std::vector<PlannedRange> Plan(std::vector<PlannedRange> ranges,
                                 const std::vector<PlannedServer>& servers,
                                 const SliceWeights& weights) const override;

 private:
  uint32_t m_max_moves;
};

/// Suited to a rollout that gives a new version a share of the keys. Moves
/// pieces between the servers of a group and the others until the group has the
/// share.
class ShiftPlanner : public RangePlanner {
 public:
  /// `group` holds the ids of the servers whose load is to be `share`.
  ShiftPlanner(std::set<std::string> group, double share)
      : m_group(std::move(group)), m_share(share) {}

  std::vector<PlannedRange> Plan(std::vector<PlannedRange> ranges,
                                 const std::vector<PlannedServer>& servers,
                                 const SliceWeights& weights) const override;

 private:
  std::set<std::string> m_group;
  double m_share = 0;
};

}  // namespace foxtail
