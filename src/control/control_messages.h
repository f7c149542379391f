#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/control_tables.h"
#include "core/event.h"
#include "store/record_repository.h"

namespace foxtail {

/// Selects the state that a platform row belongs to.
enum class RowPurpose {
  kLease,
  kAssignment,
  kConfigVersion,
  kConfigDocument,
};

/// Result of a platform read or write.
struct RowResponse {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  bool m_is_write = false;
  RowResult m_result;
  TimePoint m_sent_at;
};

/// A standby's response to a promise request, or a refusal if the call failed.
struct PromiseResponse {
  CellId m_cell;
  ControlProcess m_standby;
  uint64_t m_epoch = 0;
  bool m_given = false;
  TimePoint m_sent_at;
};

/// A lease holder's request for a promise, as received by a standby.
struct ReceivedPromiseRequest {
  uint64_t m_handle = 0;
  std::string m_cell;
  ControlProcess m_holder;
  uint64_t m_epoch = 0;
};

/// A backend server's response to a grant; `m_accepted` is false if the call
/// failed.
struct GrantResponse {
  BackendServerId m_server;
  uint64_t m_number = 0;
  bool m_accepted = false;
  std::string m_incarnation;
};

/// A backend server's response to a probe; `m_responded` is false if the probe
/// failed.
struct ProbeResponse {
  BackendServerId m_server;
  bool m_responded = false;
  std::string m_incarnation;
};

/// A dispatcher's sync request, as received.
struct ReceivedSyncRequest {
  uint64_t m_handle = 0;
  SyncRequest m_request;
  TimePoint m_received_at;
};

/// An entry's token request, as received.
struct ReceivedTokenRequest {
  uint64_t m_handle = 0;
  TokenRequest m_request;
  TimePoint m_received_at;
};

/// Another control process that responded.
struct PeerResponse {
  ControlProcess m_peer;
  std::string m_data_centre;
};

/// Everything that arrived since the last tick.
struct ControlInbox {
  std::vector<RowResponse> m_row_responses;
  std::vector<PromiseResponse> m_promise_responses;
  std::vector<ReceivedPromiseRequest> m_promise_requests;
  std::vector<GrantResponse> m_grant_responses;
  std::vector<ProbeResponse> m_probe_responses;
  std::vector<ReceivedSyncRequest> m_sync_requests;
  std::vector<ReceivedTokenRequest> m_token_requests;
  std::vector<PeerResponse> m_peer_responses;
};

/// Reads a platform row.
struct ReadRecordCommand {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  RowKey m_key;
};

/// Writes a platform row if the row still has version `m_if_version` (0: if the
/// row is missing).
struct WriteRecordCommand {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  RowKey m_key;
  uint64_t m_if_version = 0;
  RecordValue m_value;
};

/// Requests a standby's promise not to take over.
struct RequestPromiseCommand {
  CellId m_cell;
  std::string m_cell_name;
  ControlProcess m_standby;
  uint64_t m_epoch = 0;
};

/// Responds to a lease holder's promise request.
struct PromiseResponseCommand {
  uint64_t m_handle = 0;
  bool m_given = false;
};

/// Sends a backend server the complete list of its grants.
struct SendGrantCommand {
  BackendServerId m_server;
  std::string m_address;
  std::string m_cell_name;
  uint64_t m_control_epoch = 0;
  uint64_t m_number = 0;
  std::chrono::milliseconds m_ttl{0};
  WallTime m_expires_at;
  std::map<PartitionNumber, uint64_t> m_partitions;
};

/// Probes the health of a backend server.
struct SendProbeCommand {
  BackendServerId m_server;
  std::string m_address;
};

/// Responds to a dispatcher's sync request.
struct SyncResponseCommand {
  uint64_t m_handle = 0;
  SyncResponse m_response;
};

/// Responds to an entry's token request.
struct TokenResponseCommand {
  uint64_t m_handle = 0;
  TokenResponse m_response;
};

/// Writes an event to the log.
struct LogEventCommand {
  EventNumber m_number = EventNumber::kInternalFailure;
  std::vector<EventField> m_fields;
};

/// Commands of a tick, which the control loop executes after the tick.
struct ControlOutbox {
  std::vector<ReadRecordCommand> m_reads;
  std::vector<WriteRecordCommand> m_writes;
  std::vector<RequestPromiseCommand> m_promise_requests;
  std::vector<PromiseResponseCommand> m_promise_responses;
  std::vector<SendGrantCommand> m_grants;
  std::vector<SendProbeCommand> m_probes;
  std::vector<SyncResponseCommand> m_sync_responses;
  std::vector<TokenResponseCommand> m_token_responses;
  std::vector<LogEventCommand> m_events;
};

/// State and messages that the systems of a tick read and write.
struct ControlContext {
  ControlTables& m_tables;
  const ControlInbox& m_inbox;
  ControlOutbox& m_outbox;
  Now m_now;
};

}  // namespace foxtail
