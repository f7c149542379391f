#include "gateway/range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace foxtail {
namespace {

// Smallest piece that is split off, as a fraction of an equal share. The bound
// keeps the number of ranges small.
constexpr double kMinPieceFraction = 0.15;

// Smallest piece to look for when a server without load is filled, as a
// fraction of an equal share. Smaller pieces from more servers would multiply
// the grants that must be renewed.
constexpr double kMinFillPieceFraction = 0.4;

// A server without load is filled up to this fraction of its target. Beyond it,
// keys would move that the next change moves back.
constexpr double kFillTargetFraction = 0.85;

// Keys are moved off a server whose load exceeds its target by this factor.
constexpr double kOverloadFactor = 1.3;

// A hot slice may load the receiver beyond its target if the donor's
// utilization before the move exceeds the receiver's after it by this factor.
constexpr double kHotSliceMinGain = 1.3;

// A shift moves more in a plan: its steps must end within seconds.
constexpr uint32_t kMaxShiftMoves = 24;

// Fraction by which the shifted share may differ from what was asked for, since
// slices are not split.
constexpr double kShiftTolerance = 0.1;

// Smallest piece that is shifted if the receivers' targets are smaller, as a
// fraction of an equal share: a small share goes to one or two servers and not
// to all of them.
constexpr double kMinShiftFraction = 0.3;

// Target and load are shares of the service's requests, as in PlannedServer.
struct ServerLoad {
  double m_target = 0;
  double m_load = 0;
  uint32_t m_range_count = 0;

  /// Returns the load relative to the target.
  double Utilization() const { return m_load / m_target; }
  double Headroom() const { return m_target - m_load; }
};

using ServerLoads = std::map<std::string, ServerLoad>;

ServerLoads SumLoads(const std::vector<PlannedRange>& ranges,
                     const std::vector<PlannedServer>& servers,
                     const SliceWeights& weights) {
  ServerLoads loads;
  for (const PlannedServer& server : servers) {
    loads[server.m_id].m_target = server.m_target;
  }
  for (const PlannedRange& range : ranges) {
    const auto load = loads.find(range.m_owner);
    if (load != loads.end()) {
      load->second.m_load += weights.ShareOf(range.m_range);
      ++load->second.m_range_count;
    }
  }
  return loads;
}

double MinPieceShare(const ServerLoads& loads) {
  return kMinPieceFraction / static_cast<double>(loads.size());
}

ServerLoads::iterator MostHeadroom(ServerLoads& loads) {
  return std::ranges::max_element(
      loads, {}, [](const auto& entry) { return entry.second.Headroom(); });
}

ServerLoads::iterator LeastHeadroom(ServerLoads& loads) {
  return std::ranges::min_element(
      loads, {}, [](const auto& entry) { return entry.second.Headroom(); });
}

// A block holds the keys that are not split between servers.
uint32_t BlockOf(uint32_t key, const SliceWeights& weights) {
  return key / weights.GetSplitKeys();
}

uint32_t FirstKeyOf(uint32_t block, const SliceWeights& weights) {
  return block * weights.GetSplitKeys();
}

uint32_t LastKeyOf(uint32_t block, const SliceWeights& weights) {
  return (block + 1) * weights.GetSplitKeys() - 1;
}

// Returns the last key of the longest prefix of a range, in whole blocks, whose
// share is at most `limit`. The prefix has at least one block. Blocks are not
// split.
uint32_t FindPrefixEnd(const KeyRange& range,
                       double limit,
                       const SliceWeights& weights) {
  uint32_t shortest = BlockOf(range.m_first, weights);
  uint32_t longest = BlockOf(range.m_last, weights);
  while (shortest < longest) {
    const uint32_t middle = (shortest + longest + 1) / 2;
    const uint32_t last = std::min(LastKeyOf(middle, weights), range.m_last);
    if (weights.ShareOf({range.m_first, last}) <= limit) {
      shortest = middle;
    } else {
      longest = middle - 1;
    }
  }
  return std::min(LastKeyOf(shortest, weights), range.m_last);
}

// Splits a range into pieces that fit the receivers' headroom.
void AssignInPieces(const KeyRange& range,
                    ServerLoads& loads,
                    const SliceWeights& weights,
                    std::vector<PlannedRange>& plan) {
  KeyRange rest = range;
  while (true) {
    const auto receiver = MostHeadroom(loads);
    ServerLoad& load = receiver->second;
    const double headroom = std::max(load.Headroom(), MinPieceShare(loads));
    uint32_t last = FindPrefixEnd(rest, headroom, weights);
    const KeyRange tail{last + 1, rest.m_last};
    if (last < rest.m_last && weights.ShareOf(tail) < MinPieceShare(loads)) {
      last = rest.m_last;
    }
    const KeyRange piece{rest.m_first, last};
    plan.push_back({piece, receiver->first});
    load.m_load += weights.ShareOf(piece);
    ++load.m_range_count;
    if (last == rest.m_last) {
      return;
    }
    rest.m_first = last + 1;
  }
}

// A piece of one range that may move to another server.
struct MoveCandidate {
  size_t m_index = 0;
  KeyRange m_keys;
  double m_share = 0;
};

// Returns the longest suffix of a range, in whole blocks, whose share is at
// most `limit`. The suffix has at least one block.
KeyRange FindSuffix(const KeyRange& range,
                    double limit,
                    const SliceWeights& weights) {
  uint32_t shortest = BlockOf(range.m_last, weights);
  uint32_t longest = BlockOf(range.m_first, weights);
  const auto suffix_from = [&](uint32_t block) {
    return KeyRange{std::max(range.m_first, FirstKeyOf(block, weights)),
                    range.m_last};
  };
  while (longest < shortest) {
    const uint32_t middle = (longest + shortest) / 2;
    if (weights.ShareOf(suffix_from(middle)) <= limit) {
      shortest = middle;
    } else {
      longest = middle + 1;
    }
  }
  return suffix_from(shortest);
}

// Returns the longest piece of a range, in whole blocks, that begins with the
// block of the largest share and has a share of at most `limit`. The piece has
// at least one block.
KeyRange FindHotPiece(const KeyRange& range,
                      double limit,
                      const SliceWeights& weights) {
  KeyRange hottest;
  double max_share = -1;
  for (uint32_t block = BlockOf(range.m_first, weights);
       block <= BlockOf(range.m_last, weights); ++block) {
    const KeyRange keys{std::max(range.m_first, FirstKeyOf(block, weights)),
                        std::min(range.m_last, LastKeyOf(block, weights))};
    const double share = weights.ShareOf(keys);
    if (share > max_share) {
      max_share = share;
      hottest = keys;
    }
  }
  const KeyRange suffix{hottest.m_first, range.m_last};
  return {suffix.m_first, FindPrefixEnd(suffix, limit, weights)};
}

// Returns the piece of the donor's ranges with the largest share within
// `limit`. A hot slice above the limit may move if the receiver's utilization
// with the slice is clearly below the donor's. The share is 0 if nothing can
// move.
MoveCandidate FindMoveCandidate(const std::vector<PlannedRange>& ranges,
                                const std::string& donor,
                                const ServerLoad& donor_load,
                                const ServerLoad& receiver_load,
                                double limit,
                                const SliceWeights& weights) {
  MoveCandidate best;
  for (size_t i = 0; i < ranges.size(); ++i) {
    const KeyRange& whole = ranges[i].m_range;
    if (ranges[i].m_owner != donor) {
      continue;
    }
    const KeyRange prefix{whole.m_first, FindPrefixEnd(whole, limit, weights)};
    for (const KeyRange& keys : {prefix, FindSuffix(whole, limit, weights),
                                 FindHotPiece(whole, limit, weights)}) {
      const double share = weights.ShareOf(keys);
      const double utilization_after =
          (receiver_load.m_load + share) / receiver_load.m_target;
      const bool fits =
          share <= limit && (keys != whole || donor_load.m_range_count > 1);
      if ((fits ||
           utilization_after * kHotSliceMinGain < donor_load.Utilization()) &&
          share > best.m_share) {
        best = {i, keys, share};
      }
    }
  }
  return best;
}

// Moves a piece of the donor's ranges to the receiver. Returns the share moved,
// or 0 if nothing can move.
double MovePiece(std::vector<PlannedRange>& ranges,
                 ServerLoads& loads,
                 const std::string& donor,
                 const std::string& receiver,
                 double limit,
                 const SliceWeights& weights) {
  ServerLoad& donor_load = loads.at(donor);
  ServerLoad& receiver_load = loads.at(receiver);
  const MoveCandidate move = FindMoveCandidate(ranges, donor, donor_load,
                                               receiver_load, limit, weights);
  if (move.m_share <= 0) {
    return 0;
  }
  const KeyRange whole = ranges[move.m_index].m_range;
  ranges[move.m_index] = {move.m_keys, receiver};
  --donor_load.m_range_count;
  if (whole.m_first < move.m_keys.m_first) {
    ranges.push_back({{whole.m_first, move.m_keys.m_first - 1}, donor});
    ++donor_load.m_range_count;
  }
  if (move.m_keys.m_last < whole.m_last) {
    ranges.push_back({{move.m_keys.m_last + 1, whole.m_last}, donor});
    ++donor_load.m_range_count;
  }
  ++receiver_load.m_range_count;
  donor_load.m_load -= move.m_share;
  receiver_load.m_load += move.m_share;
  return move.m_share;
}

void FillEmptyServers(std::vector<PlannedRange>& ranges,
                      ServerLoads& loads,
                      const SliceWeights& weights) {
  for (auto& [id, load] : loads) {
    const double target = load.m_target * kFillTargetFraction;
    if (load.m_load > 0) {
      continue;
    }
    // A remainder below the smallest piece doesn't justify another range.
    while (load.m_load == 0 || target - load.m_load > MinPieceShare(loads)) {
      const auto donor = LeastHeadroom(loads);
      const double limit = std::min(
          target - load.m_load,
          std::max(-donor->second.Headroom(),
                   kMinFillPieceFraction / static_cast<double>(loads.size())));
      if (donor->first == id ||
          MovePiece(ranges, loads, donor->first, id, limit, weights) <= 0) {
        break;
      }
    }
  }
}

// Returns how far a server's load is above its target, less the larger of the
// tolerated overload and the uncertainty of the measurement.
double ExcessLoad(const ServerLoad& load, const SliceWeights& weights) {
  const double tolerance = load.m_target * (kOverloadFactor - 1);
  return -load.Headroom() -
         std::max(tolerance, weights.Uncertainty(load.m_target));
}

// Moves one piece from the most overloaded server to the one with the most
// headroom. Returns whether a piece was moved.
bool MoveFromOverloaded(std::vector<PlannedRange>& ranges,
                        ServerLoads& loads,
                        const SliceWeights& weights) {
  const auto donor =
      std::ranges::max_element(loads, {}, [&weights](const auto& entry) {
        return ExcessLoad(entry.second, weights);
      });
  if (ExcessLoad(donor->second, weights) <= 0) {
    return false;
  }
  const auto receiver = MostHeadroom(loads);
  const double limit =
      std::min(-donor->second.Headroom(), receiver->second.Headroom());
  if (limit < MinPieceShare(loads)) {
    return false;
  }
  return MovePiece(ranges, loads, donor->first, receiver->first, limit,
                   weights) > 0;
}

void SortByKey(std::vector<PlannedRange>& ranges) {
  std::ranges::sort(ranges, {}, &PlannedRange::m_range);
}

}  // namespace

std::vector<PlannedRange> FillPlanner::Plan(
    std::vector<PlannedRange> ranges,
    const std::vector<PlannedServer>& servers,
    const SliceWeights& weights) const {
  ServerLoads loads = SumLoads(ranges, servers, weights);
  if (loads.empty()) {
    return ranges;
  }
  std::vector<PlannedRange> plan;
  for (const PlannedRange& range : ranges) {
    if (range.m_owner.empty()) {
      AssignInPieces(range.m_range, loads, weights, plan);
    } else {
      plan.push_back(range);
    }
  }
  FillEmptyServers(plan, loads, weights);
  SortByKey(plan);
  return plan;
}

std::vector<PlannedRange> RebalancePlanner::Plan(
    std::vector<PlannedRange> ranges,
    const std::vector<PlannedServer>& servers,
    const SliceWeights& weights) const {
  ServerLoads loads = SumLoads(ranges, servers, weights);
  if (loads.size() < 2) {
    return ranges;
  }
  for (uint32_t move = 0; move < m_max_moves; ++move) {
    if (!MoveFromOverloaded(ranges, loads, weights)) {
      break;
    }
  }
  SortByKey(ranges);
  return ranges;
}

std::vector<PlannedRange> ShiftPlanner::Plan(
    std::vector<PlannedRange> ranges,
    const std::vector<PlannedServer>& servers,
    const SliceWeights& weights) const {
  ServerLoads group;
  ServerLoads others;
  for (auto& [id, load] : SumLoads(ranges, servers, weights)) {
    (m_group.contains(id) ? group : others)[id] = load;
  }
  if (group.empty() || others.empty()) {
    return ranges;
  }
  ServerLoads loads = group;
  loads.insert(others.begin(), others.end());
  for (uint32_t move = 0; move < kMaxShiftMoves; ++move) {
    double shifted = 0;
    for (const auto& [id, load] : group) {
      shifted += loads.at(id).m_load;
    }
    const double missing = m_share - shifted;
    if (std::abs(missing) <= kShiftTolerance * m_share) {
      break;
    }
    const auto headroom = [&loads](const auto& entry) {
      return loads.at(entry.first).Headroom();
    };
    const auto& donors = missing > 0 ? others : group;
    const auto& receivers = missing > 0 ? group : others;
    const std::string donor =
        std::ranges::min_element(donors, {}, headroom)->first;
    const std::string receiver =
        std::ranges::max_element(receivers, {}, headroom)->first;
    const double limit = std::min(
        std::abs(missing),
        std::max(loads.at(receiver).Headroom(),
                 kMinShiftFraction / static_cast<double>(loads.size())));
    if (MovePiece(ranges, loads, donor, receiver, limit, weights) <= 0) {
      break;
    }
  }
  SortByKey(ranges);
  return ranges;
}

}  // namespace foxtail
