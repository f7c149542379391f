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
  ControlProcess m_self;
  std::string m_data_centre;
  TimePoint m_seen;
};

/// State of this process with regard to the control lease of a cell. The model
/// in model/control.pml uses the same names.
enum class LeasePhase {
  /// Another process holds the lease, or nobody does.
  kWatching,
  /// A takeover was written and its outcome is not known yet.
  kTaking,
  /// This process holds the lease.
  kHolding,
  /// This process gives the lease back.
  kReleasing,
};

/// The control lease of a cell as this process sees it.
struct LeaseState {
  LeasePhase m_phase = LeasePhase::kWatching;

  /// Row as last read or written, and the version of the platform's row.
  LeaseRecord m_record;
  uint64_t m_row_version = 0;
  bool m_row_known = false;

  /// When the row was first seen as it is.
  TimePoint m_unchanged_since;

  /// Whether the last read of the row was answered.
  bool m_platform_answers = false;

  /// A read or write is on its way.
  bool m_busy = false;
  TimePoint m_read_sent;
  TimePoint m_next_operation;

  /// The record that was written without an answer, and when it was sent.
  LeaseRecord m_pending;
  TimePoint m_pending_sent;

  /// Row version that the pending write requires.
  uint64_t m_pending_base = 0;
  bool m_uncertain = false;

  /// The holder acts only before this time.
  TimePoint m_authority_until;

  /// When the last confirmed renewal was sent.
  TimePoint m_confirmed_at;

  /// Standbys that might take over, and until when each promised not to.
  std::map<ControlProcess, TimePoint> m_promises;
  TimePoint m_next_promise_round;
  bool m_extended = false;

  /// As a standby: until when this process promised not to take over.
  TimePoint m_promised_until;
};

/// Progress of the assignment row of a cell.
enum class AssignmentPhase {
  /// Not read since the lease was taken.
  kUnread,
  /// Read; must be written once under this controller's epoch.
  kUnfenced,
  kReady,
};

/// The assignment row as this process sees it.
struct AssignmentState {
  AssignmentPhase m_phase = AssignmentPhase::kUnread;
  AssignmentRecord m_record;
  uint64_t m_row_version = 0;

  /// The record being written.
  AssignmentRecord m_pending;
  bool m_busy = false;

  /// The last write was not answered: the row must be read again.
  bool m_uncertain = false;

  /// Rows changed in a way that should be recorded without haste.
  bool m_dirty = false;
  TimePoint m_next_operation;
};

/// A sync request that waits for news.
struct ParkedSync {
  uint64_t m_handle = 0;
  DispatcherId m_dispatcher;
  TimePoint m_received;
  TimePoint m_answer_by;
  uint64_t m_routes_version = 0;
  uint64_t m_routes_epoch = 0;
  uint64_t m_access_version = 0;
  bool m_answer_now = false;
};

/// A cell: one service, or the admission of all workspaces.
struct CellRow {
  std::string m_name;

  /// Set when the configuration no longer has the service.
  bool m_removed = false;
  ServiceConfig m_service;

  /// The service as far as the partition rows follow it; routes are made of it.
  ServiceConfig m_routed_service;
  LeaseState m_lease;
  AssignmentState m_assignment;
  std::map<std::string, BackendServerId> m_servers;
  std::map<PartitionNumber, PartitionId> m_partitions;
  std::vector<ParkedSync> m_parked;

  /// Routes as last published, and whether rows changed since.
  std::shared_ptr<const CellRoutes> m_routes;
  uint64_t m_routes_version = 0;
  bool m_changed = true;
  uint64_t m_response_number = 0;
  TimePoint m_taken_over_at;

  /// The controller before acted on nothing after this time.
  TimePoint m_predecessor_end;
  TimePoint m_next_rebalance;

  bool IsAccess() const { return m_name == kAccessCell; }
};

/// A backend server.
struct BackendServerRow {
  CellId m_cell;
  BackendServerConfig m_config;

  /// Set when the configuration no longer has it.
  bool m_removed = false;

  /// Takes work according to the configuration.
  bool m_serving = true;

  bool m_up = false;

  /// A probe was answered or failed since the lease was taken.
  bool m_probed = false;
  bool m_probe_busy = false;
  TimePoint m_next_probe;
  uint32_t m_probe_failures = 0;

  /// Id of the server's run, from its answers.
  std::string m_incarnation;

  /// The only dispatcher that may send to it.
  DispatcherId m_dispatcher;

  /// The dispatcher is being replaced and must let go first.
  bool m_dispatcher_leaving = false;

  /// Response number from which the leaving dispatcher has no lease.
  uint64_t m_dispatcher_dropped_at = 0;

  /// The dispatcher's lease has lapsed after this time.
  TimePoint m_lease_bound;

  /// Until then a lost or unknown dispatcher may still send.
  TimePoint m_send_bound;

  /// Until then a request of such a dispatcher may still run.
  TimePoint m_run_bound;

  /// Grants that may be in force, unless unknown; and the confirmed list.
  std::set<PartitionNumber> m_maybe_granted;
  bool m_grants_known = false;
  std::map<PartitionNumber, uint64_t> m_granted;
  std::map<PartitionNumber, uint64_t> m_granting;
  uint64_t m_grant_number = 0;
  bool m_grant_busy = false;
  bool m_grant_due = false;
  TimePoint m_next_grant;
  TimePoint m_grant_bound;

  /// Requests in flight and answered a second, from dispatchers' reports.
  uint32_t m_in_flight = 0;
  uint32_t m_queued = 0;
};

/// Progress of a partition's change of owner.
enum class MovePhase {
  kSettled,
  /// The new owner is being written to the platform.
  kRecording,
  /// The old owner's dispatcher must let go, or its lease must lapse.
  kReleasing,
  /// The old owner must confirm the end of its grant, or it must lapse.
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
  MovePhase m_phase = MovePhase::kSettled;

  /// While recording: the owner being written.
  BackendServerId m_target;

  /// While releasing or revoking: the owner before.
  BackendServerId m_previous;
  TimePoint m_move_started;

  /// Routes version in which it was first held or absent.
  uint64_t m_dropped_at = 0;

  /// Partitions whose old right must end first (a pinned key leaves or joins
  /// its hash range).
  std::vector<PartitionId> m_blockers;

  /// The pinned key is gone: erase the row once its right has ended.
  bool m_retiring = false;

  /// Name of the server a pinned key must be on.
  std::string m_pinned_to;

  /// The platform's row still names the previous owner.
  bool m_previous_recorded = false;

  /// Requests a second, smoothed.
  double m_load = 0;
  TimePoint m_settled_at;
};

/// A dispatcher: one traffic thread of an entry, as known to one cell.
struct DispatcherRow {
  CellId m_cell;
  DispatcherIdentity m_name;
  std::string m_data_centre;

  TimePoint m_last_sync;

  /// When it last showed that it acts on a newer answer. A dispatcher whose
  /// requests arrive while answers to it are lost is no use.
  TimePoint m_last_acknowledged;
  TimePoint m_last_load;
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

/// What a dispatcher handed over with a partition.
struct MemoryRow {
  CellId m_cell;
  PartitionDedupState m_memory;
  TimePoint m_until;
};

/// Crashes connected with a request fingerprint.
struct CrashRow {
  CellId m_cell;
  CrashSuspect m_suspect;
  bool m_quarantined = false;
  TimePoint m_until;
};

/// The configuration in force.
struct ConfigState {
  uint64_t m_version = 0;
  Configuration m_configuration;
  bool m_known = false;
  bool m_busy = false;
  TimePoint m_next_poll;

  /// Version whose document is being read.
  uint64_t m_reading_version = 0;

  /// When the newest answered poll was sent.
  TimePoint m_fresh_at;
};

/// All state of the control thread.
struct ControlTables {
  ControlSettings m_settings;
  ControlProcess m_self;
  std::string m_data_centre;
  TimePoint m_started;
  bool m_stopping = false;
  ConfigState m_config;
  std::shared_ptr<const AccessView> m_access;
  Table<PeerRow> m_peers;
  Table<CellRow> m_cells;
  Table<BackendServerRow> m_servers;
  Table<PartitionRow> m_partitions;
  Table<DispatcherRow> m_dispatchers;
  Table<WorkspaceRow> m_workspaces;
  Table<MemoryRow> m_dedup_states;
  Table<CrashRow> m_crashes;
};

/// Returns the cell with this name, or an invalid id.
CellId FindCell(const ControlTables& tables, const std::string& name);

/// Returns whether this process may act for the cell at `now`.
bool HoldsAuthority(const CellRow& cell, TimePoint now);

/// Returns whether this process may act for the cell and knows its assignment.
bool CanDecide(const CellRow& cell, TimePoint now);

/// Returns whether the configuration was read under the cell's present lease,
/// so that it is no older than what an earlier controller published.
bool ConfigIsFresh(const ControlTables& tables, const CellRow& cell);

/// Adds the clocks' drift to a duration measured by another host.
Duration WithDrift(const ControlSettings& settings, Duration duration);

}  // namespace foxtail
