#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/event.h"
#include "core/table.h"
#include "core/time.h"
#include "gateway/backend_server.h"
#include "gateway/cluster_codec.h"
#include "gateway/gateway_settings.h"
#include "gateway/slice_weights.h"
#include "gateway/speed_estimate.h"
#include "routing/route_index.h"
#include "store/table_store.h"
#include "traffic/token_issuer.h"

namespace foxtail {

struct MemberRow;
struct ServerRow;
struct ServiceRow;
struct RangeRow;
using MemberId = TypedId<MemberRow>;
using ServerId = TypedId<ServerRow>;
using ServiceId = TypedId<ServiceRow>;
using RangeId = TypedId<RangeRow>;

/// A daemon that takes requests, as the cluster table lists it.
struct MemberRow {
  MemberRecord m_record;
  uint64_t m_row_version = 0;

  /// At the leader: its last report.
  TimePoint m_heard;
  uint64_t m_report_sequence = 0;
};

/// A backend server, as it registered itself.
struct ServerRow {
  BackendServerEntry m_entry;

  /// The entry is gone; the row stays until nothing refers to it.
  bool m_listed = true;
  TimePoint m_unlisted_since;

  /// The entry is missing right after an outage of the store: it counts as gone
  /// from this time on unless it comes back.
  bool m_missing = false;
  TimePoint m_missing_until;

  /// When it began to drain or its data centre to be evacuated.
  TimePoint m_leaving_since;
  bool m_evacuated = false;

  /// Cold until this time.
  TimePoint m_cold_until;

  SpeedEstimate m_speed;

  /// Orders that failed in a row, and when the first of them did.
  uint32_t m_failed_orders = 0;
  TimePoint m_failing_since;
};

/// Progress of a range's change of owner.
enum class RangePhase {
  /// No server may own it at the moment.
  kUnowned,
  /// The new owner must be recorded in the store.
  kRecording,
  /// The previous owner is asked to release it.
  kReleasing,
  /// The new owner must confirm its grant.
  kGranting,
  kSettled,
};

/// A range of shard keys of a service.
struct RangeRow {
  ServiceId m_service;
  KeyRange m_range;
  std::string m_owner;
  int64_t m_owner_incarnation = 0;
  uint64_t m_fence = 0;
  RangePhase m_phase = RangePhase::kUnowned;

  /// A grant may have reached the owner.
  bool m_may_hold = false;

  /// Servers whose earlier right to the range may not have ended.
  std::vector<std::string> m_previous;

  /// What the previous owner gave for the next one.
  std::string m_handover;

  /// No server holds it by an earlier grant after this time.
  TimePoint m_held_until;

  /// The same without the order that is on its way.
  TimePoint m_held_before;

  /// A grant that was not answered may still be carried out before this time,
  /// and the server that is fenced against that.
  TimePoint m_unanswered_until;
  std::string m_fenced_server;

  /// Number of the owners record that must be in the store first.
  uint64_t m_record_number = 0;
  bool m_busy = false;
  TimePoint m_next_order;
  TimePoint m_move_started;
};

/// A service whose keys are owned, and its row in the store.
struct ServiceRow {
  std::string m_name;

  /// The row as known: read since the lease was taken, and its version.
  bool m_known = false;
  uint64_t m_row_version = 0;
  uint64_t m_record_number = 0;

  /// Ranges changed since the last write; the number they will be in.
  bool m_dirty = false;
  bool m_busy = false;

  /// The last write had no answer: the row must be read again.
  bool m_uncertain = false;
  TimePoint m_next_operation;
  TimePoint m_next_rebalance;

  /// Requests per slice of keys since the last smoothing, and requests a
  /// second, smoothed.
  std::vector<uint32_t> m_counts = std::vector<uint32_t>(kSlices);
  std::vector<float> m_loads = std::vector<float>(kSlices);
  TimePoint m_smoothed;
};

/// What this daemon is with regard to the leader lease.
enum class LeadPhase {
  kFollowing,
  /// The lease was written and its outcome is not known yet.
  kTaking,
  kLeading,
};

/// The leader lease as this daemon sees it.
struct LeadState {
  LeadPhase m_phase = LeadPhase::kFollowing;
  LeadRecord m_record;
  uint64_t m_row_version = 0;
  bool m_known = false;
  TimePoint m_unchanged_since;
  bool m_busy = false;
  bool m_uncertain = false;
  TimePoint m_next_operation;

  /// The record that is being written, and when it was sent.
  LeadRecord m_pending;
  BootTime m_pending_sent;

  /// The leader acts only before this time.
  BootTime m_authority_until;

  /// The leader cannot reach most servers and gives its lease back.
  bool m_resigning = false;

  /// Grants that outlast an outage of the store were asked for.
  bool m_outage_holds = false;

  /// The fencing token that was given out last.
  uint64_t m_last_fence = 0;

  /// When the leader was heard last.
  TimePoint m_leader_heard;

  /// After giving the lease back: not taken again before this time.
  TimePoint m_not_before;
};

/// How far this daemon has read a watched table.
struct WatchProgress {
  /// All changes up to this version of the store were taken in.
  uint64_t m_read_up_to = 0;

  /// Version of the newest change of the table that was taken in.
  uint64_t m_newest_change = 0;

  /// Newest version at which the table is known to have changed, and since when
  /// it is known while that change is not taken in.
  uint64_t m_known_change = 0;
  TimePoint m_behind_since;

  /// When this daemon's newest successful read of it was sent.
  BootTime m_read_at;

  /// A change at this version is known of.
  void NoteChange(uint64_t version, TimePoint now);

  /// All changes up to this version were taken in.
  void NoteRead(uint64_t version);

  /// Rows were taken in: the whole table if `complete`, or changes.
  void NoteRows(const RowsResult& result, bool complete);
};

/// What the leader answered this daemon's last report.
struct LeaderWord {
  TokenResponse m_tokens;

  /// When the report was sent that it answers.
  TimePoint m_report_sent;
};

/// An order for a backend server.
struct GrantCommand {
  RangeId m_range;
  std::string m_server;
  std::string m_address;
  KeyRange m_keys;
  uint64_t m_fence = 0;
  Duration m_hold{};
  std::string m_handover;
};

/// An order that ends a grant.
struct ReleaseCommand {
  RangeId m_range;
  std::string m_server;
  std::string m_address;
  KeyRange m_keys;
  uint64_t m_fence = 0;
  Duration m_timeout{};
};

/// Reads one row of the project's own tables.
struct ReadRowCommand {
  std::string m_table;
  std::string m_key;
};

/// Writes one row of the project's own tables.
struct WriteRowCommand {
  RowWrite m_write;
};

/// Sends a datagram to some daemons.
struct SendCommand {
  std::vector<std::string> m_addresses;
  ClusterMessage m_message;
};

/// What systems ask the control thread to carry out.
using ControlCommand = std::variant<GrantCommand,
                                    ReleaseCommand,
                                    ReadRowCommand,
                                    WriteRowCommand,
                                    SendCommand>;

/// An event to be logged.
struct PendingEvent {
  EventNumber m_number;
  std::vector<EventField> m_fields;
};

/// All control state of a gateway.
struct GatewayTables {
  OwnershipSettings m_settings;
  MemberRecord m_self;
  TimePoint m_started;
  bool m_stopping = false;

  /// Configuration in force, and when the newest read of it was sent.
  std::shared_ptr<const RouteIndex> m_routes;
  std::set<std::string> m_evacuated;

  LeadState m_lead;

  /// Tokens of the workspaces, while this daemon leads.
  std::optional<TokenIssuer> m_tokens;
  std::array<WatchProgress, kWatchedKinds> m_progress;

  /// The leader passes changes on; until this time nothing need be watched.
  TimePoint m_relayed_until;

  /// When the newest read of the operators' rows, by this daemon or by the
  /// leader, was sent.
  BootTime m_operators_read_at;
  Table<MemberRow> m_members;
  Table<ServerRow> m_servers;
  Table<ServiceRow> m_services;
  Table<RangeRow> m_ranges;
  std::map<std::string, ServerId> m_servers_by_id;

  /// Owners as the cluster table has them, for routing.
  std::map<std::string, OwnersRecord> m_owners;

  /// Version up to which the server table was read, and since when the reads
  /// succeed without a gap.
  bool m_servers_read = false;
  TimePoint m_servers_contact_since;

  /// Own member row as the store has it.
  uint64_t m_member_version = 0;
  bool m_member_listed = false;
  bool m_member_busy = false;
  TimePoint m_member_next;

  /// Sequence of the last report, and answers for the traffic thread.
  uint64_t m_report_sequence = 0;
  std::vector<LeaderWord> m_leader_words;

  std::vector<ControlCommand> m_outbox;
  std::vector<PendingEvent> m_events;

  /// What traffic threads act on has changed.
  bool m_snapshot_due = true;

  /// The next time at which a system has something to do.
  TimePoint m_next_due;

  bool IsLeading(const Now& now) const {
    return m_lead.m_phase == LeadPhase::kLeading &&
           now.m_boot < m_lead.m_authority_until;
  }

  void WakeAt(TimePoint when) { m_next_due = std::min(m_next_due, when); }
};

/// Returns the registered server, or null.
ServerRow* FindServer(GatewayTables& tables, const std::string& id);
const ServerRow* FindServer(const GatewayTables& tables, const std::string& id);

/// Returns the service whose keys are owned, or an invalid id.
ServiceId FindService(const GatewayTables& tables, const std::string& name);

/// A row of the store cannot be decoded: queues the event.
void NoteUnreadable(GatewayTables& tables,
                    const std::string& table,
                    const std::string& key,
                    const std::string& error);

/// Returns whether a server may be given keys or new work.
bool IsEligible(const ServerRow& server);

}  // namespace foxtail
