#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// An operator's order to move a service's traffic to the servers of a version.
struct RolloutOrder {
  std::string m_service;

  /// Software version that is to serve the service.
  std::string m_target;

  /// The rollout must have ended this long after the order.
  Duration m_period{};

  /// Version of the order's row, which tells orders apart.
  uint64_t m_number = 0;
};

/// States of a rollout.
enum class RolloutState : uint8_t {
  kRunning,
  /// All requests go to the target version.
  kCompleted,
  /// The target version was found bad and receives nothing.
  kRolledBack,
};

/// Row rollout/SERVICE: the newest rollout of a service.
struct RolloutRecord {
  std::string m_service;
  std::string m_target;

  /// Number of the order.
  uint64_t m_order = 0;
  RolloutState m_state = RolloutState::kRunning;

  /// Incremented at each change of the share.
  uint32_t m_step = 0;

  /// Share of the service's requests that the target version receives.
  double m_share = 0;

  /// When the order was first seen, by the wall clock of the leader then:
  /// milliseconds since the epoch of that clock.
  int64_t m_ordered_at_ms = 0;

  /// Requests since the order, of all versions and of the target version, when
  /// the record was written.
  uint64_t m_requests = 0;
  uint64_t m_target_requests = 0;

  /// Version of the newest row that repeats the order; 0 if none does.
  uint64_t m_last_repeat = 0;

  /// Versions that were rolled back and not ordered again since.
  std::vector<std::string> m_rejected;

  bool operator==(const RolloutRecord&) const = default;
};

/// Number of classes by which latencies are counted.
inline constexpr size_t kLatencyClasses = 30;

/// Results of one version's servers on one route.
struct VersionCounts {
  /// Attempts that have ended, without those that the server refused to run.
  uint32_t m_ended = 0;

  /// Those of them without a valid response, or with a status of 500 and above.
  uint32_t m_failed = 0;

  /// Number of the others by class of latency (`LatencyClassOf`), without those
  /// at cold servers.
  std::array<uint32_t, kLatencyClasses> m_latencies{};

  bool operator==(const VersionCounts&) const = default;
};

/// Results of both groups of servers on one route.
struct RouteCounts {
  std::string m_route;
  VersionCounts m_target;
  VersionCounts m_others;

  bool operator==(const RouteCounts&) const = default;
};

/// What one host has seen of a rollout since it knew of the order. Sums since
/// then rather than since the last report, so that a lost report or a change of
/// the leader loses no request.
struct RolloutCounts {
  std::string m_service;

  /// Number of the order, and the step whose share the host applies; 0 if it
  /// applies none but the first.
  uint64_t m_order = 0;
  uint32_t m_step = 0;

  /// Requests sent to a server of any version, retries not counted.
  uint64_t m_requests = 0;

  /// Requests sent to the target version, retries included.
  uint64_t m_target_requests = 0;

  /// Requests that are on their way at servers of other versions.
  uint32_t m_others_in_flight = 0;
  std::vector<RouteCounts> m_routes;

  bool operator==(const RolloutCounts&) const = default;
};

/// Datagram from a member to the leader, sent only while rollouts run.
struct RolloutReport {
  std::string m_address;
  std::string m_incarnation;

  /// Grows with each report of a process.
  uint64_t m_sequence = 0;
  std::vector<RolloutCounts> m_counts;
};

/// Datagram from the leader to members: rollbacks that take effect before they
/// are stored.
struct RolloutNotice {
  uint64_t m_epoch = 0;
  std::vector<RolloutRecord> m_records;
};

}  // namespace foxtail
