#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/control_tables.h"
#include "core/event.h"
#include "store/record_repository.h"

namespace foxtail {

/// Which state a platform row belongs to.
enum class RowPurpose {
  kLease,
  kAssignment,
  kConfigVersion,
  kConfigDocument,
};

/// A platform read or write that ended.
struct RowAnswer {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  bool m_write = false;
  RowResult m_result;
  TimePoint m_sent;
};

/// A standby's answer to a request for a promise.
struct PromiseAnswer {
  CellId m_cell;
  ControlProcess m_standby;
  uint64_t m_epoch = 0;
  bool m_given = false;
  TimePoint m_sent;
};

/// A holder's request for a promise.
struct PromiseAsked {
  uint64_t m_handle = 0;
  std::string m_cell;
  ControlProcess m_holder;
  uint64_t m_epoch = 0;
};

/// A backend server's answer to a grant, or its absence.
struct GrantAnswer {
  BackendServerId m_server;
  uint64_t m_number = 0;
  bool m_accepted = false;
  std::string m_incarnation;
};

/// A backend server's answer to a probe, or its absence.
struct ProbeAnswer {
  BackendServerId m_server;
  bool m_answered = false;
  std::string m_incarnation;
};

/// A dispatcher's sync request.
struct SyncAsked {
  uint64_t m_handle = 0;
  SyncRequest m_request;
  TimePoint m_received;
};

/// An entry's request for tokens.
struct TokensAsked {
  uint64_t m_handle = 0;
  TokenRequest m_request;
  TimePoint m_received;
};

/// Another control process that answered.
struct PeerAnswer {
  ControlProcess m_peer;
  std::string m_data_centre;
};

/// Everything that arrived since the last tick.
struct ControlInbox {
  std::vector<RowAnswer> m_rows;
  std::vector<PromiseAnswer> m_promises;
  std::vector<PromiseAsked> m_promises_asked;
  std::vector<GrantAnswer> m_grants;
  std::vector<ProbeAnswer> m_probes;
  std::vector<SyncAsked> m_syncs;
  std::vector<TokensAsked> m_tokens;
  std::vector<PeerAnswer> m_peers;
};

/// Read a platform row.
struct ReadRow {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  RowKey m_key;
};

/// Write a platform row if it has a version.
struct WriteRow {
  RowPurpose m_purpose = RowPurpose::kLease;
  CellId m_cell;
  RowKey m_key;
  uint64_t m_if_version = 0;
  RecordValue m_value;
};

/// Ask a standby not to take over.
struct AskPromise {
  CellId m_cell;
  std::string m_cell_name;
  ControlProcess m_standby;
  uint64_t m_epoch = 0;
};

/// Answer a holder.
struct GivePromise {
  uint64_t m_handle = 0;
  bool m_given = false;
};

/// Send a backend server the whole list of its grants.
struct SendGrant {
  BackendServerId m_server;
  std::string m_address;
  std::string m_cell_name;
  uint64_t m_control_epoch = 0;
  uint64_t m_number = 0;
  std::chrono::milliseconds m_lifetime{0};
  WallTime m_expires;
  std::map<PartitionNumber, uint64_t> m_partitions;
};

/// Probe a backend server's health.
struct SendProbe {
  BackendServerId m_server;
  std::string m_address;
};

/// Answer a dispatcher.
struct AnswerSync {
  uint64_t m_handle = 0;
  SyncResponse m_response;
};

/// Answer an entry's request for tokens.
struct AnswerTokens {
  uint64_t m_handle = 0;
  TokenResponse m_response;
};

/// Write an event.
struct NoteEvent {
  EventNumber m_number = EventNumber::kInternalFailure;
  std::vector<EventField> m_fields;
};

/// Everything that a tick wants done outside.
struct ControlOutbox {
  std::vector<ReadRow> m_reads;
  std::vector<WriteRow> m_writes;
  std::vector<AskPromise> m_promises;
  std::vector<GivePromise> m_promise_answers;
  std::vector<SendGrant> m_grants;
  std::vector<SendProbe> m_probes;
  std::vector<AnswerSync> m_syncs;
  std::vector<AnswerTokens> m_tokens;
  std::vector<NoteEvent> m_events;
};

/// What each system of a tick works on.
struct ControlContext {
  ControlTables& m_tables;
  const ControlInbox& m_inbox;
  ControlOutbox& m_outbox;
  Now m_now;
};

}  // namespace foxtail
