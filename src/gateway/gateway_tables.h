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
#include "gateway/era_history.h"
#include "gateway/era_key.h"
#include "gateway/gateway_settings.h"
#include "gateway/member_contact.h"
#include "gateway/outage_detector.h"
#include "gateway/rollout_row.h"
#include "gateway/server_control.h"
#include "gateway/slice_weights.h"
#include "gateway/speed_estimate.h"
#include "routing/route_index.h"
#include "store/store_version.h"
#include "store/table_store.h"
#include "traffic/token_issuer.h"

namespace foxtail {

struct MemberRow;
struct ServerRow;
struct ServiceRow;
struct RangeRow;
struct ConfirmedMoveRow;
struct FailedCallsRow;
using MemberId = TypedId<MemberRow>;
using ServerId = TypedId<ServerRow>;
using ServiceId = TypedId<ServiceRow>;
using RangeId = TypedId<RangeRow>;
using ConfirmedMoveId = TypedId<ConfirmedMoveRow>;
using FailedCallsId = TypedId<FailedCallsRow>;
using RolloutId = TypedId<RolloutRow>;

/// A gateway process registered in the cluster table.
struct MemberRow {
  MemberRecord m_record;
  uint64_t m_row_version = 0;

  /// Era of the row. A member whose row is of an older era is dropped at
  /// `m_unconfirmed_until` unless it has registered in the present one.
  uint64_t m_era = 0;
  TimePoint m_unconfirmed_until;

  /// The rest is maintained by the leader only: contact with the member,
  /// sequence number of its last report, and when the member is deregistered if
  /// no report comes.
  MemberContact m_contact;
  uint64_t m_report_sequence = 0;
  TimePoint m_deregister_at;
};

/// A registration that may have been written late by an earlier incarnation of
/// its server.
struct HeldRegistration {
  BackendServerEntry m_entry;
  uint64_t m_row_version = 0;

  /// When the incarnation's first such registration was read.
  TimePoint m_since;
};

/// A backend server and its registration.
struct ServerRow {
  BackendServerEntry m_entry;
  uint64_t m_row_version = 0;

  /// A registration that is not used yet, and the incarnations, the newest
  /// last, that have been replaced by another one of this server.
  std::optional<HeldRegistration> m_held;
  std::vector<int64_t> m_replaced_incarnations;

  /// False once the registration has been removed. The row stays until no range
  /// refers to the server.
  bool m_registered = true;
  TimePoint m_deregistered_since;

  /// The registration was missing when the store came back from an outage. The
  /// server is deregistered at `m_missing_until` unless it has registered
  /// again.
  bool m_missing = false;
  TimePoint m_missing_until;

  /// When the server began to drain, or the evacuation of its data centre
  /// began.
  TimePoint m_draining_since;
  bool m_evacuated = false;

  /// The server has told a member that it is leaving, which its registration
  /// may not say yet. Known to the leader only.
  bool m_leaving = false;

  /// End of the server's cold phase.
  TimePoint m_cold_until;

  SpeedEstimate m_speed;

  /// A younger server has the address, so this one has ended and holds no keys.
  bool m_ended = false;

  /// The younger server at the address, once its registration was read.
  std::string m_replaced_by;

  /// Number of consecutive failed calls, and the time of the first of them.
  uint32_t m_consecutive_failures = 0;
  TimePoint m_failing_since;
};

/// Phases of moving a range to a new owner.
enum class RangePhase {
  /// No server may own the range at the moment.
  kUnowned,
  /// The new owner is being written to the store.
  kRecording,
  /// The previous owners are being asked to release the range.
  kReleasing,
  /// The new owner has not confirmed its grant yet.
  kGranting,
  /// The owner has confirmed its grant.
  kStable,
};

/// Low bits of a fencing token, which count the tokens of one leader. The bits
/// above hold the leader's epoch.
inline constexpr uint32_t kFenceCounterBits = 32;

/// Low bits of an epoch, which count the leaders of one era of the store. The
/// bits above hold the era, so that fencing tokens are ordered by era first.
/// Tokens stay below 2^53 up to era 511.
inline constexpr uint32_t kEraEpochBits = 12;

/// A range of shard keys of a service.
struct RangeRow {
  ServiceId m_service;
  KeyRange m_range;
  std::string m_owner;
  int64_t m_owner_incarnation = 0;

  /// Fencing token of the last grant call; each call has its own.
  uint64_t m_fence = 0;
  RangePhase m_phase = RangePhase::kUnowned;

  /// The owner was recorded by an earlier leader.
  bool m_taken_over = false;

  /// A grant call to the owner was sent and may have been executed.
  bool m_may_be_granted = false;

  /// Servers whose earlier grants of the range may not have expired.
  std::vector<PreviousOwner> m_previous_owners;

  /// The record says that a previous owner has a late grant, and so that the
  /// owner has not been granted the range yet.
  bool m_late_grant_recorded = false;

  /// Handover data that the previous owner returned for the new one.
  std::string m_handover;

  /// All grants sent so far have expired by this time.
  TimePoint m_granted_until;

  /// `m_granted_until` without the grant call that is in flight.
  TimePoint m_prior_granted_until;

  /// The owner may execute a late grant until this time. Goes into
  /// `PreviousOwner::m_has_late_grant` when the range moves.
  TimePoint m_late_grant_until;

  /// Number of the owners record that must be stored before the move goes on.
  uint64_t m_record_number = 0;
  bool m_call_in_flight = false;
  TimePoint m_next_server_call_at;
  TimePoint m_move_started_at;
};

/// Grants to the recorded owners of a service by a leader that has taken over,
/// for the log.
struct TakeoverSummary {
  /// When the next line is due; unset if there is nothing to tell.
  TimePoint m_next_summary_at;
  uint64_t m_confirmed = 0;
  Duration m_longest{};
};

/// A sharded service and its owners row in the store.
struct ServiceRow {
  std::string m_name;

  /// Whether the row was read since this leader acquired the lease, the row's
  /// version, and the number of the last record read or written.
  bool m_row_loaded = false;
  uint64_t m_row_version = 0;
  uint64_t m_record_number = 0;

  /// Ranges have changed since the last write.
  bool m_dirty = false;
  bool m_call_in_flight = false;

  /// The last write failed on its version or had no response. The row must be
  /// read again.
  bool m_write_outcome_unknown = false;
  TimePoint m_next_store_call_at;
  TimePoint m_next_rebalance_at;

  /// For each slice of keys: requests since the last smoothing step, and the
  /// smoothed rate in requests per second.
  std::vector<uint32_t> m_slice_requests = std::vector<uint32_t>(kSlices);
  std::vector<float> m_slice_rates = std::vector<float>(kSlices);
  TimePoint m_last_smoothed_at;

  TakeoverSummary m_takeover;
};

/// A move that has been decided on.
struct StartedMove {
  KeyRange m_range;
  std::string m_from;
  std::string m_to;
};

/// A move whose new owner has confirmed its grant, until it is logged.
struct ConfirmedMoveRow {
  std::string m_service;
  std::string m_server;
  KeyRange m_range;
  uint64_t m_fence = 0;
  Duration m_elapsed{};
  TimePoint m_confirmed_at;
};

/// A grant or release call that was not confirmed.
struct FailedCall {
  std::string m_order;
  std::string m_server;
  std::string m_address;
  int64_t m_incarnation = 0;
  KeyRange m_keys;
  uint64_t m_fence = 0;
  ServerCallOutcome m_outcome = ServerCallOutcome::kUnknown;
};

/// Failed calls to one server with one outcome that have not been logged yet:
/// their number and the first of them.
struct FailedCallsRow {
  FailedCall m_first;
  uint64_t m_calls = 0;
  TimePoint m_due_at;
};

/// Role of this process in leader election.
enum class LeaderLeasePhase {
  kFollower,
  /// A write that acquires the lease was sent; its outcome is not known yet.
  kAcquiring,
  kLeader,
};

/// This process's view of the leader lease.
struct LeaderLeaseState {
  LeaderLeasePhase m_phase = LeaderLeasePhase::kFollower;
  LeaderLeaseRecord m_record;
  uint64_t m_row_version = 0;
  bool m_row_loaded = false;
  TimePoint m_unchanged_since;
  bool m_call_in_flight = false;
  bool m_write_outcome_unknown = false;
  TimePoint m_next_store_call_at;

  /// The record of the last write, and when the write was sent.
  LeaderLeaseRecord m_pending_record;
  BootTime m_pending_sent_at;

  /// The leader must not act from this time on. Not set from the sending of a
  /// release on.
  BootTime m_authority_until;

  /// The leader cannot reach most servers and is releasing its lease.
  bool m_resigning = false;

  /// Grants are sent with the longer TTL that outlasts an outage of the store.
  bool m_outage_ttl_active = false;

  /// The last fencing token issued.
  uint64_t m_last_fence = 0;

  /// When the last response of the leader arrived.
  TimePoint m_leader_last_heard_at;

  /// This process does not try to acquire the lease before this time.
  TimePoint m_next_acquire_at;

  /// The highest epoch of any leader that this process knows of.
  uint64_t m_highest_epoch = 0;

  /// This process led when it saw the present era, and its authority had not
  /// ended, so no other process has led since. Until its authority had ended,
  /// none could acquire the lease.
  bool m_may_continue = false;
  BootTime m_continue_until;
};

/// What a process knows of the time before the present era of the store.
enum class EraHistory {
  /// The store has been in its first era for as long as is known.
  kNone,
  /// The process has started in the era and waits for a member to tell.
  kPending,
  /// The process has run through the change, or a member has told.
  kKnown,
  /// No member has told in time.
  kUnknown,
};

/// What this process knows of the store's era.
struct StoreEraState {
  /// The newest era that this process knows of; unset before the first response
  /// of the store.
  std::optional<uint64_t> m_era;

  /// The store has been in an older era, and since when this process has known
  /// so.
  bool m_changed = false;
  TimePoint m_changed_at;

  /// Newest row of each watched table in the first read of the era. Rows up to
  /// this version may be of the copy.
  std::array<uint64_t, kWatchedKinds> m_copy_versions{};

  /// While the history is pending: the next member to ask, when the next ones
  /// are asked, and until when this process waits; unset before the first
  /// request.
  EraHistory m_history = EraHistory::kNone;
  size_t m_next_candidate = 0;
  TimePoint m_next_history_request_at;
  TimePoint m_history_wait_until;

  /// The newest version of the configuration that another process is known to
  /// have had in force. The configuration that was read last may be of the
  /// copy; it is not used then if it is older, until its row is written in the
  /// present era or the operators' rows of the copy count again.
  uint64_t m_known_configuration = 0;
  bool m_configuration_may_be_of_copy = false;

  /// Servers that were draining before this process started, and their
  /// incarnations.
  std::map<std::string, int64_t> m_draining_servers;

  /// Evacuations as the rows say, and whether a data centre is evacuated in
  /// spite of that, until its row is written in the present era or the time is
  /// over, in which operators write their rows again.
  std::set<std::string> m_stored_evacuations;
  std::map<std::string, bool> m_kept_evacuations;
  TimePoint m_operator_rows_kept_until;

  /// Rows of older eras in the cluster table, and their versions.
  std::map<std::string, uint64_t> m_older_rows;
  TimePoint m_next_removal_at;
};

/// A backend server that is no longer in the tables.
struct GoneServer {
  int64_t m_incarnation = 0;
  TimePoint m_gone_at;

  /// Era of the server's last registration.
  uint64_t m_era = 0;
};

/// How far this process has read a watched table. All versions are versions of
/// the store.
struct WatchProgress {
  /// The table has been read. In a new store it is read at version 0.
  bool m_loaded = false;

  /// All changes up to this version have been applied.
  uint64_t m_applied_version = 0;

  /// Version of the newest applied change.
  uint64_t m_last_change_version = 0;

  /// Newest version at which the table is known to have changed, and since when
  /// known changes have been waiting to be applied (unset if none are).
  uint64_t m_latest_known_version = 0;
  TimePoint m_behind_since;

  /// When the newest successful read was sent.
  BootTime m_last_read_sent_at;

  /// Since when reads of the table have failed; unset if the last one
  /// succeeded.
  TimePoint m_failing_since;

  /// All changes that the store acknowledged before this time have been
  /// applied, or are being applied; unset before the first read.
  BootTime m_complete_at;

  /// Records that a watch has been answered, before its rows are applied.
  void RecordAnsweredWatch(BootTime sent_at, BootTime answered_at);

  /// Records that another process, whose rows are applied here, had applied all
  /// changes up to this time.
  void RecordCompleteAt(BootTime complete_at);

  /// Records that the table changed at this version.
  void RecordKnownVersion(uint64_t version, TimePoint now);

  /// Returns since when rows that are being applied now may have been in the
  /// store.
  TimePoint FindChangeTime(const Now& now) const;

  /// Records that all changes up to this version have been applied.
  void RecordAppliedVersion(uint64_t version);

  /// Records that rows have been applied: the whole table if `complete`,
  /// changes otherwise.
  void RecordAppliedRows(const RowsResult& result, bool complete);
};

/// Tokens from the leader's response to a report, or no tokens from a leader
/// that announces itself.
struct LeaderTokens {
  TokenResponse m_tokens;

  /// When the report was sent; unset for an announcement.
  TimePoint m_report_sent_at;
};

/// A grant call to a backend server.
struct GrantCommand {
  RangeId m_range;
  std::string m_server;
  int64_t m_incarnation = 0;
  std::string m_address;
  KeyRange m_keys;
  uint64_t m_fence = 0;
  Duration m_grant_ttl{};
  std::string m_handover;
};

/// A release call to a backend server.
struct ReleaseCommand {
  RangeId m_range;
  std::string m_server;
  int64_t m_incarnation = 0;
  std::string m_address;
  KeyRange m_keys;
  uint64_t m_fence = 0;
  Duration m_timeout{};
};

/// Reads one row of the gateway's own tables.
struct ReadRowCommand {
  std::string m_table;

  /// Stored key; empty for all rows of the table.
  std::string m_key;

  /// Era in which the row is wanted; unset if it is not known yet.
  std::optional<uint64_t> m_era;
};

/// Writes one row of the gateway's own tables.
struct WriteRowCommand {
  RowWrite m_write;
};

/// Reads the version of the row that tells operators of a rollout's state.
struct ReadRolloutStatusCommand {
  RolloutRecord m_record;

  /// Era in which the row is wanted.
  uint64_t m_era = 0;
};

/// Writes the row that tells operators of a rollout's state.
struct WriteRolloutStatusCommand {
  RolloutRecord m_record;
  uint64_t m_expected_version = 0;
};

/// Sends a datagram to other gateways.
struct SendDatagramCommand {
  std::vector<std::string> m_addresses;
  ClusterMessage m_message;
};

/// A command that a system queues for the control thread to execute.
using ControlCommand = std::variant<GrantCommand,
                                    ReleaseCommand,
                                    ReadRowCommand,
                                    WriteRowCommand,
                                    ReadRolloutStatusCommand,
                                    WriteRolloutStatusCommand,
                                    SendDatagramCommand>;

/// An event waiting to be logged.
struct PendingEvent {
  EventNumber m_number;
  std::vector<EventField> m_fields;
};

/// Control state of a gateway. Only the control thread accesses it.
struct GatewayTables {
  OwnershipSettings m_settings;
  MemberRecord m_self;
  TimePoint m_started_at;
  bool m_shutting_down = false;

  /// Configuration in force, and the data centres to be emptied.
  std::shared_ptr<const RouteIndex> m_routes;
  std::set<std::string> m_evacuated;

  LeaderLeaseState m_leader_lease;
  StoreEraState m_store_era;

  /// Issues the workspaces' rate tokens; used while this process is the leader.
  std::optional<TokenIssuer> m_tokens;
  TimePoint m_next_tokens_summary_at;

  /// For how long the rates have accrued since the issuer began. Time counts in
  /// proportion to the members that report: the others use their shares on
  /// their own.
  Duration m_rates_accrued_for{};
  TimePoint m_rates_advanced_at;
  std::array<WatchProgress, kWatchedKinds> m_progress;

  /// The leader relays row changes; until this time the store need not be
  /// watched. Once it has passed, this process has watched by itself since.
  TimePoint m_relayed_until;

  /// When the newest read of the operators' rows was sent, by this process or
  /// by the leader.
  BootTime m_operators_read_at;
  Table<MemberRow> m_members;
  Table<ServerRow> m_servers;
  Table<ServiceRow> m_services;
  Table<RangeRow> m_ranges;
  Table<ConfirmedMoveRow> m_confirmed_moves;
  Table<FailedCallsRow> m_failed_calls;

  /// Services that have an order or a record of a rollout.
  Table<RolloutRow> m_rollouts;
  uint64_t m_rollout_report_sequence = 0;

  /// When this process next tells the leader of newer records than the store
  /// has.
  TimePoint m_next_rollout_notice_at;

  /// No leader has been heard lately, so nothing is sent to versions that are
  /// being tried.
  bool m_rollouts_paused = false;
  std::map<std::string, ServerId> m_servers_by_id;
  std::map<std::string, GoneServer> m_gone_servers;

  /// Stored owners record of each service, for routing.
  std::map<std::string, OwnersRecord> m_owners;

  /// Outages of the store, by the answers to this process and, at the leader,
  /// to the members.
  OutageDetector m_outages;

  /// Since when the store has had no outage: as this process knows, or the
  /// leader while the leader relays.
  TimePoint m_store_reachable_since;

  /// This process's own member row in the store.
  uint64_t m_self_row_version = 0;
  bool m_self_registered = false;
  bool m_self_write_in_flight = false;
  TimePoint m_next_self_write_at;

  /// Sequence number of the last report, and tokens for the traffic thread.
  uint64_t m_report_sequence = 0;
  std::vector<LeaderTokens> m_leader_tokens;

  std::vector<ControlCommand> m_outbox;
  std::vector<PendingEvent> m_events;

  /// State in the routing snapshot has changed; a new one must be published.
  bool m_snapshot_due = true;

  /// When the next tick is due.
  TimePoint m_next_tick_at;

  /// When a tick last ran later than due.
  TimePoint m_last_late_at;

  bool IsLeading(const Now& now) const {
    return m_leader_lease.m_phase == LeaderLeasePhase::kLeader &&
           now.m_boot < m_leader_lease.m_authority_until;
  }

  /// Returns the era of the store, 0 if it is not known.
  uint64_t GetEra() const { return m_store_era.m_era.value_or(0); }

  /// Returns the version of a row that does not exist in the present era.
  uint64_t GetMissingRowVersion() const {
    return MakeStoreVersion(GetEra(), 0);
  }

  /// Returns whether a watched table has been read in the present era.
  bool IsLoaded(WatchedKind kind) const {
    return m_progress[kind].m_loaded &&
           EraOfVersion(m_progress[kind].m_applied_version) == GetEra();
  }

  /// Returns whether there is a configuration and requests may be routed by it.
  bool IsConfigurationUsable() const {
    return m_routes && (!m_store_era.m_configuration_may_be_of_copy ||
                        m_routes->GetConfig().m_version >=
                            m_store_era.m_known_configuration);
  }

  /// Returns whether calls that time out now may have done so because this
  /// process was late.
  bool WasLate(const Now& now) const {
    return now.m_steady - m_last_late_at <
           m_settings.m_server_call_timeout + m_settings.m_late_tick_threshold;
  }

  /// Makes the next tick due no later than this time.
  void WakeAt(TimePoint when) {
    m_next_tick_at = std::min(m_next_tick_at, when);
  }
};

/// Returns the server's row, or null.
ServerRow* FindServer(GatewayTables& tables, const std::string& id);
const ServerRow* FindServer(const GatewayTables& tables, const std::string& id);

/// Returns a fencing token above all that this leader and its predecessors have
/// issued.
uint64_t IssueFencingToken(GatewayTables& tables);

/// Returns the sharded service with this name, or an invalid id.
ServiceId FindService(const GatewayTables& tables, const std::string& name);

/// Returns the addresses of the registered gateways but this one.
std::vector<std::string> ListOtherMembers(const GatewayTables& tables);

/// Ranks hosts by processor time, the strongest first, then by address.
bool IsStronger(const MemberRecord& a, const MemberRecord& b);

/// Returns the newest incarnation of a server that this process has seen.
int64_t FindNewestIncarnation(const ServerRow& server);

/// Queues the event that a row of the store cannot be decoded.
void LogUnreadableRow(GatewayTables& tables,
                      const std::string& table,
                      const std::string& key,
                      const std::string& error);

/// Queues the event that the configuration that was read last is not used.
void LogWithheldConfiguration(GatewayTables& tables);

/// Returns whether a server may receive keys or new requests.
bool IsEligible(const ServerRow& server);

}  // namespace foxtail
