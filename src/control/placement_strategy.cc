#include "control/placement_strategy.h"

#include <cassert>
#include <cmath>
#include <vector>

#include "core/digest.h"

namespace foxtail {
namespace {

// Returns the weighted rendezvous score, -slots / ln(u). The candidate with the
// highest score wins, which gives each server partitions in proportion to its
// slots.
double Score(uint64_t partition_hash, const PlacementCandidate& candidate) {
  const uint64_t hash = FastHash(candidate.m_server, partition_hash);
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
  return -static_cast<double>(candidate.m_slots) / std::log(uniform);
}

size_t BestCandidate(uint64_t partition_hash,
                     std::span<const PlacementCandidate> candidates,
                     const std::vector<bool>& allowed) {
  size_t best = candidates.size();
  double best_score = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const double score = Score(partition_hash, candidates[i]);
    if (allowed[i] && (best == candidates.size() || score > best_score)) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

size_t RendezvousPlacement::Choose(
    uint64_t partition_hash,
    std::span<const PlacementCandidate> candidates) const {
  assert(!candidates.empty());
  return BestCandidate(partition_hash, candidates,
                       std::vector<bool>(candidates.size(), true));
}

BoundedLoadPlacement::BoundedLoadPlacement(double bound) : m_bound(bound) {
  assert(bound >= 1);
}

size_t BoundedLoadPlacement::Choose(
    uint64_t partition_hash,
    std::span<const PlacementCandidate> candidates) const {
  assert(!candidates.empty());
  double partitions = 1;
  double slots = 0;
  for (const PlacementCandidate& candidate : candidates) {
    partitions += static_cast<double>(candidate.m_partitions);
    slots += candidate.m_slots;
  }
  std::vector<bool> allowed;
  for (const PlacementCandidate& candidate : candidates) {
    const double limit =
        std::ceil(m_bound * partitions * candidate.m_slots / slots);
    allowed.push_back(static_cast<double>(candidate.m_partitions) < limit);
  }
  return BestCandidate(partition_hash, candidates, allowed);
}

}  // namespace foxtail
