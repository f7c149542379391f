#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/configuration.h"

namespace foxtail {

/// One traffic thread of an entry, as a dispatcher: its internal address and
/// the id of this run of it.
struct DispatcherIdentity {
  std::string m_address;
  std::string m_incarnation;

  auto operator<=>(const DispatcherIdentity&) const = default;
};

/// What a dispatcher saw of one backend server since its last report.
struct ServerObservation {
  std::string m_server;
  uint32_t m_in_flight = 0;
  uint32_t m_queued = 0;
  uint64_t m_responses = 0;

  /// Connections that broke or could not be made.
  uint32_t m_connection_failures = 0;
};

/// A partition that a dispatcher no longer sends to, but whose requests are
/// not all answered or past their deadline.
struct DrainingPartition {
  PartitionNumber m_number = 0;
  uint64_t m_epoch = 0;
};

/// A request that may not be repeated, as the dispatcher remembers it.
struct AcceptedRequest {
  uint64_t m_hash = 0;

  /// Unix time in the request id.
  std::chrono::milliseconds m_issued_at{0};
};

/// What a dispatcher remembers of a partition that it let go cleanly.
struct PartitionDedupState {
  PartitionNumber m_number = 0;

  /// Unix time since which every request id was seen.
  std::chrono::milliseconds m_complete_since{0};
  std::vector<AcceptedRequest> m_accepted;
};

/// A request fingerprint that was in flight when a backend server crashed.
struct CrashSuspect {
  uint64_t m_fingerprint = 0;

  /// Crashes with other requests in flight.
  uint32_t m_shared_crashes = 0;

  /// Crashes in which it was the only request in flight.
  uint32_t m_solo_crashes = 0;

  /// It ran alone and was answered, so it is no suspect any more.
  bool m_cleared = false;
};

/// Requests for one partition since the last report.
struct PartitionLoad {
  PartitionNumber m_number = 0;
  uint32_t m_requests = 0;
};

/// Dispatcher to controller of a cell; answered when something changed or the
/// hold time is over.
struct SyncRequest {
  std::string m_cell;
  DispatcherIdentity m_dispatcher;
  std::string m_data_centre;

  /// Newest routes the dispatcher acts on.
  uint64_t m_control_epoch = 0;
  uint64_t m_routes_version = 0;
  uint64_t m_config_version = 0;

  /// Newest `SyncResponse::m_number` it acts on, of `m_control_epoch`.
  uint64_t m_applied_number = 0;

  /// Backend servers whose dispatch lease was unexpired when this was sent.
  std::vector<std::string> m_leased_servers;

  /// Backend servers without a lease that still have requests in flight.
  std::vector<std::string> m_draining_servers;
  std::vector<DrainingPartition> m_draining_partitions;
  std::vector<PartitionDedupState> m_dedup_states;
  std::vector<ServerObservation> m_observations;
  std::vector<CrashSuspect> m_suspects;
  std::vector<PartitionLoad> m_loads;

  /// Set on a planned stop: the dispatcher wants no leases any more.
  bool m_shutting_down = false;
};

/// A backend server in the routes of a cell.
struct RouteServer {
  std::string m_name;
  std::string m_address;
  uint32_t m_slots = 1;
  uint32_t m_queue = 0;

  /// Internal address of its dispatcher; empty while there is none.
  std::string m_dispatcher;
};

/// A partition in the routes of a cell.
struct RoutePartition {
  PartitionNumber m_number = 0;

  /// Index into `CellRoutes::m_servers`.
  uint32_t m_server = 0;
  uint64_t m_epoch = 0;

  /// While set, requests wait: the partition is being moved.
  bool m_paused = false;
};

/// Everything an entry needs to route the requests of one service.
struct CellRoutes {
  uint64_t m_control_epoch = 0;
  uint64_t m_version = 0;

  /// Name, options and routes; servers and pins are in `m_servers` and below.
  ServiceConfig m_service;
  std::vector<RouteServer> m_servers;

  /// Sorted by number.
  std::vector<RoutePartition> m_partitions;
  std::vector<CrashSuspect> m_suspects;
  std::vector<uint64_t> m_quarantined;
};

/// Everything an entry needs to admit the requests of all workspaces.
struct AccessView {
  uint64_t m_control_epoch = 0;
  uint64_t m_version = 0;
  std::vector<WorkspaceConfig> m_workspaces;

  /// Names of all services; each is a cell.
  std::vector<std::string> m_services;
};

/// How the other side answered.
enum class SyncStatus : uint8_t {
  kOk,
  /// This process does not control the cell; `m_controller` may name who does.
  kNotController,
};

/// Controller of a cell to a dispatcher.
struct SyncResponse {
  SyncStatus m_status = SyncStatus::kOk;
  std::string m_controller;
  uint64_t m_control_epoch = 0;
  uint64_t m_config_version = 0;

  /// Grows with each answer of one controller, so that a dispatcher never
  /// acts on an answer that was overtaken by a newer one.
  uint64_t m_number = 0;

  /// Validity of this answer, counted from when the request was sent.
  std::chrono::milliseconds m_authority_ttl{0};

  /// How long the controller held the request before it answered.
  std::chrono::milliseconds m_pending_for{0};

  /// Length of the dispatch leases, counted from when the answer was made,
  /// which is no earlier than the sending of the request plus `m_pending_for`.
  std::chrono::milliseconds m_lease_ttl{0};

  /// Set when the dispatcher's routes were older.
  std::shared_ptr<const CellRoutes> m_routes;

  /// Set when the dispatcher's view of workspaces was older.
  std::shared_ptr<const AccessView> m_access;

  /// Backend servers this dispatcher may send to until the lease ends.
  std::vector<std::string> m_leased_servers;

  /// Memories handed over with partitions that moved to this dispatcher.
  std::vector<PartitionDedupState> m_dedup_states;
};

/// Demand of one workspace at one dispatcher.
struct TokenDemand {
  std::string m_workspace;

  /// Tokens used since the last request that was answered.
  double m_spent = 0;

  /// Unused tokens given back.
  double m_returned = 0;

  /// Tokens asked for, and how many of them requests wait for. Those are used
  /// as soon as they arrive and never reported.
  double m_requested = 0;
  double m_waiting = 0;
};

/// Entry to controller of the access cell.
struct TokenRequest {
  DispatcherIdentity m_dispatcher;
  std::vector<TokenDemand> m_demands;
};

/// Tokens handed out for one workspace.
struct TokenGrant {
  std::string m_workspace;
  double m_tokens = 0;

  /// How many of them are for requests that wait.
  double m_for_waiting = 0;
};

/// Controller of the access cell to an entry.
struct TokenResponse {
  SyncStatus m_status = SyncStatus::kOk;
  std::string m_controller;

  /// Life of the tokens, counted from when the request was sent.
  std::chrono::milliseconds m_token_ttl{0};
  std::vector<TokenGrant> m_grants;
};

}  // namespace foxtail
