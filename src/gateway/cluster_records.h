#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway/server_control.h"
#include "messages/sync_messages.h"
#include "store/table_store.h"

namespace foxtail {

/// Table in which the project's own daemons keep what must last.
inline constexpr const char* kClusterTable = "foxtail";

/// Table of the leader lease. It is apart because its renewals must not wake
/// the daemons that watch the other rows.
inline constexpr const char* kLeadTable = "foxtail-lead";
inline constexpr const char* kLeadKey = "lead";

/// Prefixes of keys in the cluster table.
inline constexpr const char* kMemberPrefix = "member/";
inline constexpr const char* kOwnersPrefix = "owners/";

/// Row member/ADDRESS: a daemon that takes requests.
struct MemberRecord {
  /// IP:PORT for datagrams between daemons.
  std::string m_address;

  /// Id of this run of the process.
  std::string m_incarnation;
  std::string m_data_centre;

  /// Processor time of the host, in cores.
  double m_processor_share = 1;

  bool operator==(const MemberRecord&) const = default;
};

/// Row lead: which daemon decides on ownership.
struct LeadRecord {
  std::string m_address;
  std::string m_incarnation;

  /// Grows by one with each change of leader.
  uint64_t m_epoch = 0;

  /// Grows by one with each renewal, so that the row changes.
  uint64_t m_renewals = 0;

  /// Given back on a planned stop: anyone may take it at once.
  bool m_released = false;

  bool operator==(const LeadRecord&) const = default;
};

/// Owner of a range of shard keys.
struct OwnedRange {
  KeyRange m_range;
  std::string m_server;
  int64_t m_incarnation = 0;

  /// Whether the owner has confirmed its grant.
  bool m_grant_confirmed = false;

  /// Servers whose earlier right may not have ended.
  std::vector<std::string> m_previous;

  bool operator==(const OwnedRange&) const = default;
};

/// Row owners/SERVICE: the owners of all shard keys of a service.
struct OwnersRecord {
  uint64_t m_epoch = 0;

  /// Grows by one with each write.
  uint64_t m_number = 0;
  std::vector<OwnedRange> m_ranges;

  bool operator==(const OwnersRecord&) const = default;
};

/// The tables that each daemon watches.
enum WatchedKind : uint32_t {
  kOperatorRows,
  kServerRows,
  kClusterRows,
  kWatchedKinds,
};

/// Requests for a slice of a service's shard keys since the last report.
struct SliceLoad {
  uint16_t m_slice = 0;
  uint16_t m_requests = 0;
};

/// Requests for a service's shard keys since the last report.
struct ServiceLoad {
  std::string m_service;
  std::vector<SliceLoad> m_slices;
};

/// How fast a backend server answered requests that found a free slot.
struct ServerSpeed {
  std::string m_server;
  uint32_t m_answers = 0;

  /// Mean time of one such request, seconds.
  float m_seconds = 0;

  /// Mean of how long work takes there relative to usual; 0 if it is not told.
  float m_slowdown = 0;
};

/// Datagram from each daemon to the leader.
struct MemberReport {
  std::string m_address;
  std::string m_incarnation;
  uint64_t m_sequence = 0;

  /// Sender's clock at sending; means something to the sender only.
  int64_t m_sent = 0;
  std::vector<TokenDemand> m_demands;
  std::vector<ServiceLoad> m_loads;
  std::vector<ServerSpeed> m_speeds;
};

/// Datagram from the leader to each member: rows of a watched table that have
/// changed.
struct RowsNews {
  uint64_t m_epoch = 0;
  uint32_t m_kind = kOperatorRows;

  /// Who knows all changes up to this version knows, with these rows, all up to
  /// the second one.
  uint64_t m_after = 0;
  uint64_t m_up_to = 0;
  std::vector<StoredRow> m_rows;
};

/// Datagram from the leader in answer to a report.
struct LeaderDigest {
  std::string m_address;
  uint64_t m_epoch = 0;

  /// Sequence and sending time of the report that it answers.
  uint64_t m_sequence = 0;
  int64_t m_report_sent = 0;

  /// Version of the lead row that the leader wrote last.
  uint64_t m_lead_version = 0;

  /// The leader gives its lease back.
  bool m_leaving = false;

  /// The leader reads the store without trouble and passes changes on.
  bool m_relaying = false;

  /// For how long the leader has read the servers' rows without a gap,
  /// milliseconds.
  uint32_t m_servers_contact_age = 0;

  /// Version of the newest change in each watched table that the leader knows.
  std::array<uint64_t, kWatchedKinds> m_changes{};

  /// Age of the leader's last read of the operators' rows, milliseconds.
  uint32_t m_operator_read_age = 0;
  TokenResponse m_tokens;
};

}  // namespace foxtail
