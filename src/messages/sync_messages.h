#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/configuration.h"

namespace foxtail {

/// Identity of a dispatcher, which is one traffic thread of an entry: its
/// internal address and the id of its incarnation.
struct DispatcherIdentity {
  std::string m_address;
  std::string m_incarnation;

  auto operator<=>(const DispatcherIdentity&) const = default;
};

/// Observations of a dispatcher about one backend server since the last report.
struct ServerObservation {
  std::string m_server;
  uint32_t m_in_flight = 0;
  uint32_t m_queued = 0;
  uint64_t m_responses = 0;

  /// Connections that broke or could not be opened.
  uint32_t m_connection_failures = 0;
};

/// A partition that a dispatcher no longer sends requests to, while some of its
/// requests are neither answered nor past their deadline.
struct DrainingPartition {
  PartitionNumber m_number = 0;
  uint64_t m_epoch = 0;
};

/// Deduplication entry of an accepted request that must not run twice.
struct AcceptedRequest {
  uint64_t m_hash = 0;

  /// Unix time that the request id contains.
  std::chrono::milliseconds m_issued_at{0};
};

/// Deduplication state of a partition that a dispatcher released cleanly.
struct PartitionDedupState {
  PartitionNumber m_number = 0;

  /// Unix time since which the state contains every accepted request id.
  std::chrono::milliseconds m_complete_since{0};
  std::vector<AcceptedRequest> m_accepted;
};

/// Fingerprint of a request that was in flight when a backend server crashed.
struct CrashSuspect {
  uint64_t m_fingerprint = 0;

  /// Crashes with other requests in flight.
  uint32_t m_shared_crashes = 0;

  /// Crashes with no other request in flight.
  uint32_t m_solo_crashes = 0;

  /// The request ran alone and was answered, so it is no longer a suspect.
  bool m_cleared = false;
};

/// Requests for one partition since the last report.
struct PartitionLoad {
  PartitionNumber m_number = 0;
  uint32_t m_requests = 0;
};

/// Report of a dispatcher to the controller of a cell. The controller responds
/// when something has changed or the long poll times out.
struct SyncRequest {
  std::string m_cell;
  DispatcherIdentity m_dispatcher;
  std::string m_data_centre;

  /// Newest routes that the dispatcher has applied.
  uint64_t m_control_epoch = 0;
  uint64_t m_routes_version = 0;
  uint64_t m_config_version = 0;

  /// Newest applied `SyncResponse::m_number` of `m_control_epoch`.
  uint64_t m_applied_number = 0;

  /// Backend servers whose dispatch lease was unexpired when the report was
  /// sent.
  std::vector<std::string> m_leased_servers;

  /// Backend servers without a lease that still have requests in flight.
  std::vector<std::string> m_draining_servers;
  std::vector<DrainingPartition> m_draining_partitions;
  std::vector<PartitionDedupState> m_dedup_states;
  std::vector<ServerObservation> m_observations;
  std::vector<CrashSuspect> m_suspects;
  std::vector<PartitionLoad> m_loads;

  /// Set on a graceful shutdown: the dispatcher requests no more leases.
  bool m_shutting_down = false;
};

/// A backend server in the routes of a cell.
struct RouteServer {
  std::string m_name;
  std::string m_address;
  uint32_t m_slots = 1;
  uint32_t m_queue = 0;

  /// Internal address of the server's dispatcher; empty while there is none.
  std::string m_dispatcher;
};

/// A partition in the routes of a cell.
struct RoutePartition {
  PartitionNumber m_number = 0;

  /// Index into `CellRoutes::m_servers`.
  uint32_t m_server = 0;
  uint64_t m_epoch = 0;

  /// Set while the partition moves; its requests wait meanwhile.
  bool m_paused = false;
};

/// Everything an entry needs to route the requests of one service.
struct CellRoutes {
  uint64_t m_control_epoch = 0;
  uint64_t m_version = 0;

  /// Name, options, routes and pinned keys. The servers are in `m_servers`, the
  /// owners of pinned keys in `m_partitions`.
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

/// Status of a controller's response.
enum class SyncStatus : uint8_t {
  kOk,
  /// This process does not control the cell; `m_controller` may hold the
  /// address of the process that does.
  kNotController,
};

/// Response of the controller of a cell to a dispatcher.
struct SyncResponse {
  SyncStatus m_status = SyncStatus::kOk;
  std::string m_controller;
  uint64_t m_control_epoch = 0;
  uint64_t m_config_version = 0;

  /// Grows with each response of one controller, so that a dispatcher never
  /// applies a response after a newer one.
  uint64_t m_number = 0;

  /// TTL of this response, counted from when the request was sent.
  std::chrono::milliseconds m_authority_ttl{0};

  /// Time for which the request was pending at the controller.
  std::chrono::milliseconds m_pending_for{0};

  /// TTL of the dispatch leases, counted from when the response was built,
  /// which is no earlier than the sending of the request plus `m_pending_for`.
  std::chrono::milliseconds m_lease_ttl{0};

  /// Set when the dispatcher's routes were older.
  std::shared_ptr<const CellRoutes> m_routes;

  /// Set when the dispatcher's view of workspaces was older.
  std::shared_ptr<const AccessView> m_access;

  /// Backend servers to which the dispatcher may send until the lease expires.
  std::vector<std::string> m_leased_servers;

  /// Deduplication states of the partitions that moved to this dispatcher.
  std::vector<PartitionDedupState> m_dedup_states;
};

/// Demand for tokens of one workspace at one dispatcher.
struct TokenDemand {
  std::string m_workspace;

  /// Tokens used since the last demand. Each use is reported once, even if the
  /// response is lost.
  double m_spent = 0;

  /// Unused tokens that are returned.
  double m_returned = 0;

  /// Requested tokens, and how many of them are for requests that already wait.
  double m_requested = 0;
  double m_waiting = 0;

  /// Tokens of requests that were not executed. They may have been reported as
  /// spent before. Each is reported once.
  double m_refunded = 0;

  /// Tokens of the host's own share that were used since its process started,
  /// and how many of them no issuer has confirmed to have charged.
  int64_t m_share_used = 0;
  int64_t m_share_uncharged = 0;

  /// Tokens left in the host's own share.
  double m_share_stock = 0;
};

/// Request of an entry to the controller of the access cell.
struct TokenRequest {
  DispatcherIdentity m_dispatcher;
  std::vector<TokenDemand> m_demands;
};

/// Tokens issued for one workspace.
struct TokenGrant {
  std::string m_workspace;
  double m_tokens = 0;

  /// The rate does not yield the rest of the demand soon.
  bool m_denied = false;

  /// `m_share_used` of the demand: the issuer has charged this use.
  int64_t m_share_charged = 0;
};

/// Response of the controller of the access cell to an entry.
struct TokenResponse {
  SyncStatus m_status = SyncStatus::kOk;
  std::string m_controller;

  /// TTL of the tokens, counted from when the request was sent.
  std::chrono::milliseconds m_token_ttl{0};
  std::vector<TokenGrant> m_grants;
};

}  // namespace foxtail
