#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/control_tables.h"
#include "core/event.h"
#include "store/platform_store.h"

namespace foxtail {

/// Which state a platform row belongs to.
enum class RowPurpose {
  kLease,
  kAssignment,
  kConfigVersion,
  kConfigDocument,
};

/// A platform read or write that ended.
struct RowResponse {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  bool m_is_write = false;
  RowResult m_result;
  TimePoint m_sent_at;
};

/// A standby's answer to a request for a promise.
struct PromiseResponse {
  CellId m_cell;
  ControlInstance m_standby;
  uint64_t m_epoch = 0;
  bool m_given = false;
  TimePoint m_sent_at;
};

/// A holder's request for a promise.
struct ReceivedPromiseRequest {
  uint64_t m_handle = 0;
  std::string m_cell;
  ControlInstance m_holder;
  uint64_t m_epoch = 0;
};

/// A backend server's answer to a grant, or its absence.
struct GrantResponse {
  BackendServerId m_server;
  uint64_t m_number = 0;
  bool m_accepted = false;
  std::string m_incarnation;
};

/// A backend server's answer to a probe, or its absence.
struct ProbeResponse {
  BackendServerId m_server;
  bool m_answered = false;
  std::string m_incarnation;
};

/// A dispatcher's sync request.
struct ReceivedSyncRequest {
  uint64_t m_handle = 0;
  SyncRequest m_request;
  TimePoint m_received_at;
};

/// An entry's request for tokens.
struct ReceivedTokenRequest {
  uint64_t m_handle = 0;
  TokenRequest m_request;
  TimePoint m_received_at;
};

/// Another control process that answered.
struct PeerResponse {
  ControlInstance m_peer;
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

/// Read a platform row.
struct ReadRecordCommand {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  RowKey m_key;
};

/// Write a platform row if it has a version.
struct WriteRecordCommand {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  RowKey m_key;
  uint64_t m_if_version = 0;
  RecordValue m_value;
};

/// Ask a standby not to take over.
struct RequestPromiseCommand {
  CellId m_cell;
  std::string m_cell_name;
  ControlInstance m_standby;
  uint64_t m_epoch = 0;
};

/// Answer a holder.
struct PromiseResponseCommand {
  uint64_t m_handle = 0;
  bool m_given = false;
};

/// Send a backend server the whole list of its grants.
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

/// Probe a backend server's health.
struct SendProbeCommand {
  BackendServerId m_server;
  std::string m_address;
};

/// Answer a dispatcher.
struct SyncResponseCommand {
  uint64_t m_handle = 0;
  SyncResponse m_response;
};

/// Answer an entry's request for tokens.
struct TokenResponseCommand {
  uint64_t m_handle = 0;
  TokenResponse m_response;
};

/// Write an event.
struct LogEventCommand {
  EventNumber m_number = EventNumber::kInternalFailure;
  std::vector<EventField> m_fields;
};

/// Everything that a tick wants done outside.
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

/// What each system of a tick works on.
struct ControlContext {
  ControlTables& m_tables;
  const ControlInbox& m_inbox;
  ControlOutbox& m_outbox;
  Now m_now;
};

}  // namespace foxtail
