#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace foxtail {

/// Groups of a service's servers while an order of a rollout is in force.
enum class VersionGroup {
  /// Servers of the target version.
  kTarget,
  /// Servers of any other version.
  kOthers,
  /// Servers of a version that was rolled back, which receive nothing.
  kRejected,
};

/// The rollout of one service as it applies to requests and keys.
struct RoutedRollout {
  /// Target version; empty if only versions are rejected.
  std::string m_target;

  /// Number of the order, and step of the record; 0 if the record of the order
  /// is not known, so that the target version receives nothing.
  uint64_t m_order = 0;
  uint32_t m_step = 0;

  /// Share of the requests for the target version.
  double m_share = 0;

  /// No leader would tell this host to stop, so it chooses the target version
  /// for no request. Keys stay with their owners.
  bool m_paused = false;
  std::vector<std::string> m_rejected;

  /// Returns the group of a server with this software version.
  VersionGroup GroupOf(const std::string& version) const;

  bool operator==(const RoutedRollout&) const = default;
};

}  // namespace foxtail
