#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace foxtail {

/// A backend server that may receive a partition.
struct PlacementCandidate {
  std::string m_server;
  uint32_t m_slots = 1;

  /// Partitions that the server owns or is about to own.
  size_t m_partitions = 0;

  /// Requests per second for these partitions.
  double m_load = 0;
};

/// Chooses the owner of a partition.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  /// Returns the index of the chosen candidate; `candidates` is not empty.
  virtual size_t Choose(
      uint64_t partition_hash,
      std::span<const PlacementCandidate> candidates) const = 0;
};

/// Chooses by weighted rendezvous hashing alone; the baseline for comparisons.
class RendezvousPlacement : public PlacementStrategy {
 public:
  size_t Choose(uint64_t partition_hash,
                std::span<const PlacementCandidate> candidates) const override;
};

/// Chooses by weighted rendezvous hashing among the servers whose partitions
/// per slot stay within a bound relative to the mean.
class BoundedLoadPlacement : public PlacementStrategy {
 public:
  /// `bound` is the maximum ratio to the mean; it must be 1 or more.
  explicit BoundedLoadPlacement(double bound);

  size_t Choose(uint64_t partition_hash,
                std::span<const PlacementCandidate> candidates) const override;

 private:
  double m_bound;
};

}  // namespace foxtail
