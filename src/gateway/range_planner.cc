#include "gateway/range_planner.h"

#include <algorithm>
#include <map>

namespace foxtail {
namespace {

// Pieces smaller than this part of an even share are not split off, so that
// the number of ranges stays small.
constexpr double kSmallestPiece = 0.15;

// An empty server takes pieces of at least this part of an even share: smaller
// ones from more servers would multiply the grants to be renewed.
constexpr double kFillPiece = 0.4;

// An empty server is filled up to this part of its target; more would only move
// keys that the next change moves back.
constexpr double kFillTarget = 0.85;

// A server is relieved when its load is over its target by this factor.
constexpr double kOverload = 1.3;

// A busy slice may fill its new server beyond the target if its old one's level
// was above the new one's by this factor.
constexpr double kHotGain = 1.3;

// Moves in one plan. Each holds up requests for its keys for a moment; all of
// one plan are recorded together.
constexpr uint32_t kMovesPerPlan = 8;

struct Bin {
  double m_target = 0;
  double m_load = 0;
  uint32_t m_ranges = 0;

  /// Load relative to the target.
  double Level() const { return m_load / m_target; }
  double Room() const { return m_target - m_load; }
};

using Bins = std::map<std::string, Bin>;

Bins BinsOf(const std::vector<PlannedRange>& ranges,
            const std::vector<PlannedServer>& servers,
            const SliceWeights& weights) {
  Bins bins;
  for (const PlannedServer& server : servers) {
    bins[server.m_id].m_target = server.m_target;
  }
  for (const PlannedRange& range : ranges) {
    const auto bin = bins.find(range.m_owner);
    if (bin != bins.end()) {
      bin->second.m_load += weights.Of(range.m_range);
      ++bin->second.m_ranges;
    }
  }
  return bins;
}

double SmallestPiece(const Bins& bins) {
  return kSmallestPiece / static_cast<double>(bins.size());
}

Bins::iterator LowestBin(Bins& bins) {
  return std::ranges::max_element(
      bins, {}, [](const auto& entry) { return entry.second.Room(); });
}

Bins::iterator HighestBin(Bins& bins) {
  return std::ranges::min_element(
      bins, {}, [](const auto& entry) { return entry.second.Room(); });
}

uint32_t SliceOf(uint32_t key) {
  return key / kKeysPerSlice;
}

uint32_t LastKeyOf(uint32_t slice) {
  return (slice + 1) * kKeysPerSlice - 1;
}

// Returns the last key of the longest beginning of a range, in whole slices,
// that weighs at most `limit`, but of one slice at least. Slices are not cut:
// which of a slice's keys is busy is not known.
uint32_t CutBefore(const KeyRange& range,
                   double limit,
                   const SliceWeights& weights) {
  uint32_t shortest = SliceOf(range.m_first);
  uint32_t longest = SliceOf(range.m_last);
  while (shortest < longest) {
    const uint32_t middle = (shortest + longest + 1) / 2;
    const uint32_t last = std::min(LastKeyOf(middle), range.m_last);
    if (weights.Of({range.m_first, last}) <= limit) {
      shortest = middle;
    } else {
      longest = middle - 1;
    }
  }
  return std::min(LastKeyOf(shortest), range.m_last);
}

// Gives a range away in pieces that fit the receivers' room.
void Scatter(const KeyRange& range,
             Bins& bins,
             const SliceWeights& weights,
             std::vector<PlannedRange>& planned) {
  KeyRange rest = range;
  while (true) {
    const auto receiver = LowestBin(bins);
    Bin& bin = receiver->second;
    const double room = std::max(bin.Room(), SmallestPiece(bins));
    uint32_t last = CutBefore(rest, room, weights);
    const KeyRange tail{last + 1, rest.m_last};
    if (last < rest.m_last && weights.Of(tail) < SmallestPiece(bins)) {
      last = rest.m_last;
    }
    const KeyRange piece{rest.m_first, last};
    planned.push_back({piece, receiver->first});
    bin.m_load += weights.Of(piece);
    ++bin.m_ranges;
    if (last == rest.m_last) {
      return;
    }
    rest.m_first = last + 1;
  }
}

// Keys of one range that may be given away.
struct Piece {
  size_t m_index = 0;
  KeyRange m_keys;
  double m_weight = 0;
};

// Returns the end of a range, in whole slices, that weighs at most `limit`, but
// of one slice at least.
KeyRange TailOf(const KeyRange& range,
                double limit,
                const SliceWeights& weights) {
  uint32_t shortest = SliceOf(range.m_last);
  uint32_t longest = SliceOf(range.m_first);
  const auto from = [&range](uint32_t slice) {
    return KeyRange{std::max(range.m_first, slice * kKeysPerSlice),
                    range.m_last};
  };
  while (longest < shortest) {
    const uint32_t middle = (longest + shortest) / 2;
    if (weights.Of(from(middle)) <= limit) {
      shortest = middle;
    } else {
      longest = middle + 1;
    }
  }
  return from(shortest);
}

// Returns the longest piece that begins with the range's heaviest slice and
// weighs at most `limit`, but of one slice at least.
KeyRange HottestOf(const KeyRange& range,
                   double limit,
                   const SliceWeights& weights) {
  KeyRange hottest;
  double most = -1;
  for (uint32_t slice = SliceOf(range.m_first); slice <= SliceOf(range.m_last);
       ++slice) {
    const KeyRange keys{std::max(range.m_first, slice * kKeysPerSlice),
                        std::min(range.m_last, LastKeyOf(slice))};
    const double weight = weights.Of(keys);
    if (weight > most) {
      most = weight;
      hottest = keys;
    }
  }
  const KeyRange rest{hottest.m_first, range.m_last};
  return {rest.m_first, CutBefore(rest, limit, weights)};
}

// Returns the heaviest piece of the donor's ranges that the receiver has room
// for. A busy slice that is more than there is room for may go if it is clearly
// better off there. Of no weight if there is none.
Piece FindPiece(const std::vector<PlannedRange>& ranges,
                const std::string& donor,
                const Bin& from,
                const Bin& to,
                double limit,
                const SliceWeights& weights) {
  Piece best;
  for (size_t i = 0; i < ranges.size(); ++i) {
    const KeyRange& whole = ranges[i].m_range;
    if (ranges[i].m_owner != donor) {
      continue;
    }
    const KeyRange head{whole.m_first, CutBefore(whole, limit, weights)};
    for (const KeyRange& keys : {head, TailOf(whole, limit, weights),
                                 HottestOf(whole, limit, weights)}) {
      const double weight = weights.Of(keys);
      const double level_after = (to.m_load + weight) / to.m_target;
      const bool fits = weight <= limit && (keys != whole || from.m_ranges > 1);
      if ((fits || level_after * kHotGain < from.Level()) &&
          weight > best.m_weight) {
        best = {i, keys, weight};
      }
    }
  }
  return best;
}

// Gives a piece of the donor's keys away. Returns its weight; 0 when there is
// none to give.
double MovePiece(std::vector<PlannedRange>& ranges,
                 Bins& bins,
                 const std::string& donor,
                 const std::string& receiver,
                 double limit,
                 const SliceWeights& weights) {
  Bin& from = bins.at(donor);
  Bin& to = bins.at(receiver);
  const Piece piece = FindPiece(ranges, donor, from, to, limit, weights);
  if (piece.m_weight <= 0) {
    return 0;
  }
  const KeyRange whole = ranges[piece.m_index].m_range;
  ranges[piece.m_index] = {piece.m_keys, receiver};
  --from.m_ranges;
  if (whole.m_first < piece.m_keys.m_first) {
    ranges.push_back({{whole.m_first, piece.m_keys.m_first - 1}, donor});
    ++from.m_ranges;
  }
  if (piece.m_keys.m_last < whole.m_last) {
    ranges.push_back({{piece.m_keys.m_last + 1, whole.m_last}, donor});
    ++from.m_ranges;
  }
  ++to.m_ranges;
  from.m_load -= piece.m_weight;
  to.m_load += piece.m_weight;
  return piece.m_weight;
}

void FillEmptyServers(std::vector<PlannedRange>& ranges,
                      Bins& bins,
                      const SliceWeights& weights) {
  for (auto& [id, bin] : bins) {
    const double target = bin.m_target * kFillTarget;
    if (bin.m_load > 0) {
      continue;
    }
    // Less than the smallest piece is not worth a range of its own.
    while (bin.m_load == 0 || target - bin.m_load > SmallestPiece(bins)) {
      const auto donor = HighestBin(bins);
      const double wanted =
          std::min(target - bin.m_load,
                   std::max(-donor->second.Room(),
                            kFillPiece / static_cast<double>(bins.size())));
      if (donor->first == id ||
          MovePiece(ranges, bins, donor->first, id, wanted, weights) <= 0) {
        break;
      }
    }
  }
}

// Returns how far a server's load is over its target beyond what is usual or
// due to chance.
double SurplusOf(const Bin& bin, const SliceWeights& weights) {
  const double usual = bin.m_target * (kOverload - 1);
  return -bin.Room() - std::max(usual, weights.Uncertainty(bin.m_target));
}

// Moves one piece from the fullest server to the emptiest. Returns whether that
// was worth it.
bool Relieve(std::vector<PlannedRange>& ranges,
             Bins& bins,
             const SliceWeights& weights) {
  const auto donor =
      std::ranges::max_element(bins, {}, [&weights](const auto& entry) {
        return SurplusOf(entry.second, weights);
      });
  if (SurplusOf(donor->second, weights) <= 0) {
    return false;
  }
  const auto receiver = LowestBin(bins);
  const double wanted =
      std::min(-donor->second.Room(), receiver->second.Room());
  if (wanted < SmallestPiece(bins)) {
    return false;
  }
  return MovePiece(ranges, bins, donor->first, receiver->first, wanted,
                   weights) > 0;
}

void Sort(std::vector<PlannedRange>& ranges) {
  std::ranges::sort(ranges, {}, &PlannedRange::m_range);
}

}  // namespace

std::vector<PlannedRange> FillPlanner::Plan(
    std::vector<PlannedRange> ranges,
    const std::vector<PlannedServer>& servers,
    const SliceWeights& weights) const {
  Bins bins = BinsOf(ranges, servers, weights);
  if (bins.empty()) {
    return ranges;
  }
  std::vector<PlannedRange> planned;
  for (const PlannedRange& range : ranges) {
    if (range.m_owner.empty()) {
      Scatter(range.m_range, bins, weights, planned);
    } else {
      planned.push_back(range);
    }
  }
  FillEmptyServers(planned, bins, weights);
  Sort(planned);
  return planned;
}

std::vector<PlannedRange> RelievePlanner::Plan(
    std::vector<PlannedRange> ranges,
    const std::vector<PlannedServer>& servers,
    const SliceWeights& weights) const {
  Bins bins = BinsOf(ranges, servers, weights);
  if (bins.size() < 2) {
    return ranges;
  }
  for (uint32_t move = 0; move < kMovesPerPlan; ++move) {
    if (!Relieve(ranges, bins, weights)) {
      break;
    }
  }
  Sort(ranges);
  return ranges;
}

}  // namespace foxtail
