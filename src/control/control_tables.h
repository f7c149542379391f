#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/control_settings.h"
#include "core/table.h"
#include "core/time.h"
#include "messages/sync_messages.h"
#include "store/records.h"

namespace foxtail {

struct CellRow;
struct BackendServerRow;
struct PartitionRow;
struct DispatcherRow;
using CellId = TypedId<CellRow>;
using BackendServerId = TypedId<BackendServerRow>;
using PartitionId = TypedId<PartitionRow>;
using DispatcherId = TypedId<DispatcherRow>;

/// Name of the cell that admits the requests of all workspaces.
inline constexpr const char* kAccessCell = "access";

/// Another control process.
struct PeerRow {
  ControlProcess m_process;
  std::string m_data_centre;
  TimePoint m_last_seen_at;
};

/// Phase of this process with regard to the control lease of a cell. The model
/// in model/control.pml uses the same names.
enum class LeasePhase {
  /// Another process holds the lease, or the lease is vacant.
  kWatching,
  /// This process takes over; the outcome of the write is not known yet.
  kAcquiring,
  /// This process holds the lease.
  kHolding,
  /// This process releases the lease.
  kReleasing,
};

/// The control lease of a cell as this process last observed it.
struct LeaseState {
  LeasePhase m_phase = LeasePhase::kWatching;

  /// Record as last read or written, and the version of the platform row.
  LeaseRecord m_record;
  uint64_t m_row_version = 0;
  bool m_row_loaded = false;

  /// When this process first saw the present row version.
  TimePoint m_unchanged_since;

  /// Whether the last read or write of the row received a response.
  bool m_platform_responds = false;

  /// A read or write of the row is in flight.
  bool m_store_call_in_flight = false;
  TimePoint m_read_sent_at;
  TimePoint m_next_store_call_at;

  /// The record of the last write, and when that write was sent.
  LeaseRecord m_pending_record;
  TimePoint m_pending_sent_at;

  /// Row version that the last write requires.
  uint64_t m_pending_base_version = 0;

  /// The last write received no response or a conflict; the row must be read
  /// again.
  bool m_write_outcome_unknown = false;

  /// The holder acts only before this time.
  TimePoint m_authority_until;

  /// When the last confirmed renewal was sent.
  TimePoint m_confirmed_at;

  /// Standbys that might take over, and until when each promised not to take
  /// over.
  std::map<ControlProcess, TimePoint> m_promises;
  TimePoint m_next_promise_round_at;

  /// Promises extend the authority beyond the last confirmed renewal.
  bool m_extended = false;

  /// Until when this process, as a standby, promised not to take over.
  TimePoint m_promised_until;
};

/// Progress of the assignment row of a cell.
enum class AssignmentPhase {
  /// The row was not read since the lease was acquired.
  kUnread,
  /// The row was read and must be written once under this controller's epoch.
  kUnfenced,
  /// The row is fenced by this controller's epoch, and the partitions are
  /// loaded.
  kReady,
};

/// The assignment row of a cell as this process last observed it.
struct AssignmentState {
  AssignmentPhase m_phase = AssignmentPhase::kUnread;
  AssignmentRecord m_record;
  uint64_t m_row_version = 0;

  /// The record being written.
  AssignmentRecord m_pending_record;
  bool m_store_call_in_flight = false;

  /// The last write received no response or a conflict; the row must be read
  /// again.
  bool m_write_outcome_unknown = false;

  /// The record still names previous owners whose rights have ended. The moves
  /// continue without waiting for the write that removes these names.
  bool m_dirty = false;
  TimePoint m_next_store_call_at;
};

/// A sync request that waits for a change (long poll).
struct PendingSync {
  uint64_t m_handle = 0;
  DispatcherId m_dispatcher;
  TimePoint m_received_at;
  TimePoint m_respond_at;
  uint64_t m_routes_version = 0;
  uint64_t m_routes_epoch = 0;
  uint64_t m_access_version = 0;

  /// The dispatcher sent a newer request, so this one is due at once.
  bool m_superseded = false;
};

/// A cell: one service, or the admission of all workspaces.
struct CellRow {
  std::string m_name;

  /// Set when the configuration no longer has the service.
  bool m_removed = false;
  ServiceConfig m_service;

  /// The service with which the partition rows were last reconciled. Routes are
  /// built from this copy.
  ServiceConfig m_routed_service;
  LeaseState m_lease;
  AssignmentState m_assignment;
  std::map<std::string, BackendServerId> m_servers;
  std::map<PartitionNumber, PartitionId> m_partitions;
  std::vector<PendingSync> m_pending_syncs;

  /// Routes as last built, and whether rows changed since.
  std::shared_ptr<const CellRoutes> m_routes;
  uint64_t m_routes_version = 0;
  bool m_routes_dirty = true;

  /// Number of the newest sync response under the present lease.
  uint64_t m_last_response_number = 0;

  /// When this process last acquired the cell's lease.
  TimePoint m_taken_over_at;

  /// The previous controller took no action after this time.
  TimePoint m_predecessor_active_until;
  TimePoint m_next_rebalance_at;

  bool IsAccess() const { return m_name == kAccessCell; }
};

/// A backend server.
struct BackendServerRow {
  CellId m_cell;
  BackendServerConfig m_config;

  /// Set when the configuration no longer has the server.
  bool m_removed = false;

  /// The configuration lets the server receive requests.
  bool m_serving = true;

  /// The server responds to probes.
  bool m_up = false;

  /// At least one probe has ended, with or without a response.
  bool m_probed = false;
  bool m_probe_in_flight = false;
  TimePoint m_next_probe_at;
  uint32_t m_probe_failures = 0;

  /// Id of the server's incarnation, from its probe responses.
  std::string m_incarnation;

  /// The only dispatcher that may send to the server.
  DispatcherId m_dispatcher;

  /// The dispatcher is being replaced and must release the server first.
  bool m_dispatcher_releasing = false;

  /// Number of the first sync response that no longer lists the server for the
  /// replaced dispatcher.
  uint64_t m_dispatcher_removed_in_response = 0;

  /// The dispatcher's lease has expired after this time; unset until the
  /// first response that grants the lease.
  TimePoint m_dispatch_lease_until;

  /// A dispatcher that this controller has lost, or that a predecessor
  /// appointed, may send requests until this time.
  TimePoint m_may_send_until;

  /// A request from such a dispatcher may run until this time.
  TimePoint m_may_run_until;

  /// Grants that may be in force; valid only if `m_possible_grants_known`.
  std::set<PartitionNumber> m_possible_grants;
  bool m_possible_grants_known = false;

  /// Epochs by partition of the last grant that the server confirmed, and of
  /// the last grant sent.
  std::map<PartitionNumber, uint64_t> m_confirmed_grants;
  std::map<PartitionNumber, uint64_t> m_pending_grants;
  uint64_t m_last_grant_number = 0;
  bool m_grant_in_flight = false;
  bool m_grant_due = false;
  TimePoint m_next_grant_at;

  /// No grant sent so far, by this controller or a predecessor, is in force
  /// after this time.
  TimePoint m_grants_valid_until;

  /// Requests in flight and queued, from the dispatchers' reports.
  uint32_t m_in_flight = 0;
  uint32_t m_queued = 0;
};

/// Progress of a partition's change of owner.
enum class MovePhase {
  /// The owner may receive requests; no move is in progress.
  kStable,
  /// The new owner is being written to the platform.
  kRecording,
  /// The previous owner's dispatcher must release the partition, or its lease
  /// must expire.
  kReleasing,
  /// The previous owner must confirm the end of its grant, or the grant must
  /// expire.
  kRevoking,
  /// The new owner must confirm its grant.
  kGranting,
};

/// A partition of a cell.
struct PartitionRow {
  CellId m_cell;
  PartitionNumber m_number = 0;
  BackendServerId m_owner;
  uint64_t m_epoch = 0;
  MovePhase m_phase = MovePhase::kStable;

  /// While recording: the new owner that is being written.
  BackendServerId m_target;

  /// While releasing or revoking: the previous owner.
  BackendServerId m_previous_owner;
  TimePoint m_move_started_at;

  /// Routes version in which the partition was first paused or absent.
  uint64_t m_paused_in_routes_version = 0;

  /// Partitions whose previous right must end first, because a pinned key
  /// leaves or joins its hash range.
  std::vector<PartitionId> m_blockers;

  /// The configuration no longer has the pinned key; the row is erased once the
  /// previous owner's right has ended.
  bool m_retiring = false;

  /// Name of the server that must own the pinned key; empty for a hash range.
  std::string m_pinned_to;

  /// The assignment row in the platform still names the previous owner.
  bool m_previous_owner_recorded = false;

  /// Exponentially averaged requests per second.
  double m_load = 0;
  TimePoint m_stable_since;
};

/// A dispatcher (one traffic thread of an entry) as one cell sees it.
struct DispatcherRow {
  CellId m_cell;
  DispatcherIdentity m_identity;
  std::string m_data_centre;

  TimePoint m_last_sync_at;

  /// When the dispatcher last acknowledged a newer sync response. A dispatcher
  /// whose requests arrive but whose responses are lost must be replaced.
  TimePoint m_last_acknowledged_at;
  TimePoint m_last_load_at;
  uint64_t m_control_epoch = 0;
  uint64_t m_routes_version = 0;
  uint64_t m_config_version = 0;
  uint64_t m_applied_number = 0;
  std::set<PartitionNumber> m_draining_partitions;
  std::set<std::string> m_draining_servers;
  bool m_shutting_down = false;
};

/// A workspace of the access cell.
struct WorkspaceRow {
  WorkspaceConfig m_config;
};

/// Deduplication state that a dispatcher handed over with a partition.
struct DedupStateRow {
  CellId m_cell;
  PartitionDedupState m_dedup_state;
  TimePoint m_retained_until;
};

/// Crashes associated with a request fingerprint.
struct CrashRow {
  CellId m_cell;
  CrashSuspect m_suspect;
  bool m_quarantined = false;
  TimePoint m_retained_until;
};

/// The configuration in force.
struct ConfigState {
  uint64_t m_version = 0;
  Configuration m_configuration;
  bool m_loaded = false;
  bool m_store_call_in_flight = false;
  TimePoint m_next_poll_at;

  /// Version whose document is being read.
  uint64_t m_reading_version = 0;

  /// When the newest poll that received a response was sent.
  TimePoint m_last_poll_sent_at;
};

/// All state of the control thread.
struct ControlTables {
  ControlSettings m_settings;
  ControlProcess m_self;
  std::string m_data_centre;
  TimePoint m_started_at;
  bool m_shutting_down = false;
  ConfigState m_config;
  std::shared_ptr<const AccessView> m_access;
  Table<PeerRow> m_peers;
  Table<CellRow> m_cells;
  Table<BackendServerRow> m_servers;
  Table<PartitionRow> m_partitions;
  Table<DispatcherRow> m_dispatchers;
  Table<WorkspaceRow> m_workspaces;
  Table<DedupStateRow> m_dedup_states;
  Table<CrashRow> m_crashes;
};

/// Returns the cell with this name, or an invalid id.
CellId FindCell(const ControlTables& tables, const std::string& name);

/// Returns whether this process may act for the cell at `now`.
bool HoldsAuthority(const CellRow& cell, TimePoint now);

/// Returns whether this process may act for the cell and has loaded the cell's
/// assignment.
bool CanDecide(const CellRow& cell, TimePoint now);

/// Returns whether the configuration was read under the cell's present lease.
/// Such a configuration is no older than any that an earlier controller
/// published.
bool ConfigIsFresh(const ControlTables& tables, const CellRow& cell);

/// Returns a duration measured by another host's clock, extended by the maximum
/// clock drift.
Duration AddClockDrift(const ControlSettings& settings, Duration duration);

}  // namespace foxtail
