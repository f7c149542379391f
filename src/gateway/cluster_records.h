#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/server_control.h"
#include "messages/sync_messages.h"
#include "store/table_store.h"

namespace foxtail {

/// Table in which the gateways keep their persistent state.
inline constexpr const char* kClusterTable = "foxtail";

/// Table and key of the leader lease. The lease has a table of its own so that
/// its renewals do not wake the gateways that watch the cluster table.
inline constexpr const char* kLeaderLeaseTable = "foxtail-lead";
inline constexpr const char* kLeaderLeaseKey = "lead";

/// Key prefixes in the cluster table.
inline constexpr const char* kMemberPrefix = "member/";
inline constexpr const char* kOwnersPrefix = "owners/";
inline constexpr const char* kRolloutRecordPrefix = "rollout/";

/// Row member/ADDRESS: a gateway process.
struct MemberRecord {
  /// IP:PORT that receives datagrams from other gateways.
  std::string m_address;

  /// Identifies one run of the process.
  std::string m_incarnation;
  std::string m_data_centre;

  /// Processor time that the host provides, in cores.
  double m_processor_share = 1;

  /// IP:PORT that receives requests for permits.
  std::string m_scheduling_address = {};

  /// The newest version of the configuration that the process knew when it
  /// registered.
  uint64_t m_configuration = 0;

  bool operator==(const MemberRecord&) const = default;
};

/// Row lead: the lease of the leader, which decides on the ownership of keys.
struct LeaderLeaseRecord {
  std::string m_address;
  std::string m_incarnation;

  /// Incremented at each change of leader.
  uint64_t m_epoch = 0;

  /// Incremented at each renewal, so that the row changes.
  uint64_t m_renewals = 0;

  /// The holder has released the lease; any other process may acquire it at
  /// once.
  bool m_released = false;

  bool operator==(const LeaderLeaseRecord&) const = default;
};

/// A server whose earlier grants of a range may not have expired.
struct PreviousOwner {
  std::string m_server;

  /// A grant call to the server had no response and may still be executed; in
  /// short, a late grant.
  bool m_has_late_grant = false;

  bool operator==(const PreviousOwner&) const = default;
};

/// Owner of a range of shard keys.
struct OwnedRange {
  KeyRange m_range;
  std::string m_server;
  int64_t m_incarnation = 0;

  /// Whether the owner has confirmed its grant.
  bool m_grant_confirmed = false;

  /// The owner is granted the range once none of these is left. If one of them
  /// has a late grant, only once that is recorded.
  std::vector<PreviousOwner> m_previous_owners;

  bool operator==(const OwnedRange&) const = default;
};

/// Row owners/SERVICE: the owners of all shard keys of a service.
struct OwnersRecord {
  uint64_t m_epoch = 0;

  /// Incremented at each write.
  uint64_t m_number = 0;
  std::vector<OwnedRange> m_ranges;

  bool operator==(const OwnersRecord&) const = default;
};

/// The tables that the gateways watch.
enum WatchedKind : uint32_t {
  kOperatorRows,
  kServerRows,
  kClusterRows,
  kWatchedKinds,
};

/// Number of requests for one slice of a service's shard keys since the last
/// report.
struct SliceLoad {
  uint16_t m_slice = 0;
  uint16_t m_requests = 0;
};

/// Number of requests for a service since the last report, by slice.
struct ServiceLoad {
  std::string m_service;
  std::vector<SliceLoad> m_slices;
};

/// Response times of a backend server for requests that found a free slot.
struct ServerSpeed {
  std::string m_server;
  uint32_t m_responses = 0;

  /// Mean response time, seconds.
  float m_seconds = 0;

  /// Mean slowdown that the server reports: processing time relative to the
  /// usual; 0 if it reports none.
  float m_slowdown = 0;
};

/// Datagram from a member to the leader.
struct MemberReport {
  std::string m_address;
  std::string m_incarnation;
  uint64_t m_sequence = 0;

  /// When the report was sent, by the sender's boot clock in nanoseconds. The
  /// receiver can compare it with other reports of the same process only.
  int64_t m_sent_at = 0;

  /// Number of hosts among which the sender divides the workspaces' rates.
  uint32_t m_members = 0;

  /// How long before the report the store last answered the sender,
  /// milliseconds; unset if it never has.
  std::optional<uint32_t> m_store_answer_age_ms;

  /// The newest version of the configuration that the sender knows, and of the
  /// changes of the operators' rows that it has applied.
  uint64_t m_configuration = 0;
  uint64_t m_operator_rows_version = 0;
  std::vector<TokenDemand> m_demands;
  std::vector<ServiceLoad> m_loads;
  std::vector<ServerSpeed> m_speeds;
};

/// A backend server that has told a member that it is leaving.
struct LeavingServer {
  std::string m_id;
  int64_t m_incarnation = 0;
};

/// Datagram from a member to the leader: servers whose keys must move.
struct LeavingServersNotice {
  std::vector<LeavingServer> m_servers;
};

/// Datagram from a new leader to each member, so that they report to it at
/// once.
struct LeaderAnnouncement {
  std::string m_address;
  uint64_t m_epoch = 0;

  /// Version of the leader lease row as last written by the leader.
  uint64_t m_leader_lease_version = 0;
};

/// Datagram from the leader in response to a report.
struct ReportResponse {
  std::string m_address;
  uint64_t m_epoch = 0;

  /// `m_sequence` and `m_sent_at` of the report.
  uint64_t m_sequence = 0;
  int64_t m_report_sent_at = 0;

  /// Version of the leader lease row as last written by the leader.
  uint64_t m_leader_lease_version = 0;

  /// The leader is shutting down and releases its lease.
  bool m_shutting_down = false;

  /// The leader's reads of the store succeed, and it relays changed rows.
  bool m_relaying = false;

  /// The leader's reads of the store fail, so members read it at once. A leader
  /// that does not relay without this may only be late.
  bool m_refused = false;

  /// For how long the store has had no outage, as the leader knows,
  /// milliseconds.
  uint32_t m_store_reachable_for_ms = 0;

  /// Version of the newest change of each watched table that the leader has
  /// applied.
  std::array<uint64_t, kWatchedKinds> m_last_change_versions{};

  /// The newest version of the configuration that the leader knows.
  uint64_t m_configuration = 0;

  /// Age of the leader's last read of the operators' rows, rounded up,
  /// milliseconds.
  uint32_t m_operator_read_age_ms = 0;

  /// For each watched table, for how long changes that the leader has not
  /// applied may have been in the store, rounded up, milliseconds.
  std::array<uint32_t, kWatchedKinds> m_complete_ages_ms{};
  TokenResponse m_tokens;
};

}  // namespace foxtail
