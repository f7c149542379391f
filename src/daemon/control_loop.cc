#include "daemon/control_loop.h"

#include <algorithm>

#include "core/error.h"
#include "core/json.h"
#include "daemon/control_rpc_client.h"
#include "runtime/address.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Longest time between ticks while no messages arrive.
constexpr milliseconds kTickPeriod{20};
constexpr milliseconds kPromiseTimeout{300};
constexpr double kPlacementBound = 1.1;
constexpr int kStatusOk = 200;

std::unique_ptr<PlacementStrategy> CreatePlacement(
    const DaemonSettings& settings) {
  if (settings.m_placement == "rendezvous") {
    return std::make_unique<RendezvousPlacement>();
  }
  return std::make_unique<BoundedLoadPlacement>(kPlacementBound);
}

HttpRequest BuildGrantRequest(const SendGrantCommand& grant) {
  Json::Value body;
  body["service"] = grant.m_cell_name;
  body["control_epoch"] = Json::UInt64(grant.m_control_epoch);
  body["number"] = Json::UInt64(grant.m_number);
  body["lifetime_ms"] = Json::Int64(grant.m_ttl.count());
  body["expires_unix_ms"] =
      Json::Int64(grant.m_expires_at.time_since_epoch().count());
  body["partitions"] = Json::Value(Json::arrayValue);
  for (const auto& [number, epoch] : grant.m_partitions) {
    Json::Value row(Json::arrayValue);
    row.append(number);
    row.append(Json::UInt64(epoch));
    body["partitions"].append(row);
  }
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/grants";
  request.m_headers.Set("content-type", "application/json");
  request.m_body = JsonText(body);
  return request;
}

}  // namespace

ControlLoop::ControlLoop(const DaemonSettings& settings,
                         ControlProcess self,
                         RecordRepository& store,
                         EventLog& events)
    : m_settings(settings),
      m_store(store),
      m_events(events),
      m_tick(CreatePlacement(settings)) {
  m_tables.m_self = std::move(self);
  m_tables.m_data_centre = settings.m_data_centre;
  m_tables.m_started_at = Clock::now();
  m_tables.m_settings.m_lease_ttl = settings.m_lease_ttl;
  m_tables.m_settings.m_takeover_delay = settings.m_takeover_delay;
}

void ControlLoop::Run() {
  while (!CanExit()) {
    Tick();
    const bool arrived = !m_inbox.m_row_responses.empty() ||
                         !m_inbox.m_sync_requests.empty() ||
                         !m_inbox.m_token_requests.empty();
    if (!arrived) {
      m_input_arrived.WaitUntil(Clock::now() + kTickPeriod);
    }
  }
}

void ControlLoop::BeginShutdown() {
  m_tables.m_shutting_down = true;
  m_input_arrived.Notify();
}

bool ControlLoop::CanExit() const {
  if (!m_tables.m_shutting_down) {
    return false;
  }
  bool lease_held = false;
  m_tables.m_cells.ForEach([&](auto, const CellRow& cell) {
    lease_held = lease_held || cell.m_lease.m_phase != LeasePhase::kWatching;
  });
  return !lease_held;
}

void ControlLoop::Tick() {
  ControlInbox inbox;
  std::swap(inbox, m_inbox);
  ControlOutbox outbox;
  const Now now = ReadClocks();
  m_tick.Run(m_tables, inbox, outbox, now);
  ++m_tick_count;
  m_longest_tick = std::max(m_longest_tick, Clock::now() - now.m_steady);
  Execute(outbox);
}

void ControlLoop::Execute(ControlOutbox& outbox) {
  for (const LogEventCommand& event : outbox.m_events) {
    m_events.Write(event.m_number, event.m_fields);
  }
  CompletePendingRequests(outbox);
  ExecuteRowCommands(outbox);
  ExecuteServerCommands(outbox);
  for (const RequestPromiseCommand& command : outbox.m_promise_requests) {
    StartFiber([this, command] { RequestPromise(command); });
  }
}

void ControlLoop::ExecuteRowCommands(ControlOutbox& outbox) {
  for (const ReadRecordCommand& read : outbox.m_reads) {
    StartFiber([this, read, sent_at = Clock::now()] {
      RowResponse response{read.m_purpose, read.m_cell, false, {}, sent_at};
      response.m_result = m_store.Read(read.m_key);
      RecordPlatformResponse(response.m_result.m_outcome !=
                             RowOutcome::kNoResponse);
      m_inbox.m_row_responses.push_back(std::move(response));
      m_input_arrived.Notify();
    });
  }
  for (WriteRecordCommand& write : outbox.m_writes) {
    StartFiber([this, write = std::move(write), sent_at = Clock::now()] {
      RowResponse response{write.m_purpose, write.m_cell, true, {}, sent_at};
      response.m_result =
          m_store.Write(write.m_key, write.m_if_version, write.m_value);
      RecordPlatformResponse(response.m_result.m_outcome !=
                             RowOutcome::kNoResponse);
      m_inbox.m_row_responses.push_back(std::move(response));
      m_input_arrived.Notify();
    });
  }
}

void ControlLoop::RecordPlatformResponse(bool responded) {
  if (responded != m_platform_reachable) {
    m_platform_reachable = responded;
    if (responded) {
      m_events.Write(EventNumber::kPlatformReachable, {});
    } else {
      m_events.Write(EventNumber::kPlatformUnreachable,
                     {{"error", "platform_unavailable"}});
    }
  }
}

void ControlLoop::ExecuteServerCommands(ControlOutbox& outbox) {
  for (SendGrantCommand& grant : outbox.m_grants) {
    StartFiber([this, grant = std::move(grant)] { SendGrantToServer(grant); });
  }
  for (const SendProbeCommand& probe : outbox.m_probes) {
    StartFiber([this, probe] { ProbeServer(probe); });
  }
}

void ControlLoop::SendGrantToServer(const SendGrantCommand& grant) {
  GrantResponse response;
  response.m_server = grant.m_server;
  response.m_number = grant.m_number;
  const ExchangeResult result =
      m_client.Exchange(ParseAddress(grant.m_address), BuildGrantRequest(grant),
                        Clock::now() + m_settings.m_server_timeout);
  response.m_accepted = result.m_ok && result.m_response.m_status == kStatusOk;
  m_inbox.m_grant_responses.push_back(std::move(response));
  m_input_arrived.Notify();
}

void ControlLoop::ProbeServer(const SendProbeCommand& probe) {
  HttpRequest request;
  request.m_target = "/health";
  ProbeResponse response;
  response.m_server = probe.m_server;
  const ExchangeResult result =
      m_client.Exchange(ParseAddress(probe.m_address), request,
                        Clock::now() + m_settings.m_server_timeout);
  response.m_responded = result.m_ok && result.m_response.m_status == kStatusOk;
  response.m_incarnation =
      result.m_response.m_headers.GetOr("x-server-instance", "");
  m_inbox.m_probe_responses.push_back(std::move(response));
  m_input_arrived.Notify();
}

void ControlLoop::RequestPromise(const RequestPromiseCommand& command) {
  PromiseResponse response;
  response.m_cell = command.m_cell;
  response.m_standby = command.m_standby;
  response.m_epoch = command.m_epoch;
  response.m_sent_at = Clock::now();
  try {
    const ControlRpcClient client(m_client, m_settings.m_cluster_secret,
                                  kPromiseTimeout);
    response.m_given = client.RequestPromise(command, m_tables.m_self);
  } catch (const Error&) {
    response.m_given = false;
  }
  m_inbox.m_promise_responses.push_back(std::move(response));
  m_input_arrived.Notify();
}

template <typename Response, typename Commands>
void ControlLoop::CompleteRequests(PendingRequests<Response>& pending,
                                   Commands& commands) {
  for (auto& command : commands) {
    const auto found = pending.find(command.m_handle);
    if (found != pending.end()) {
      found->second.set_value(std::move(command.m_response));
      pending.erase(found);
    }
  }
}

void ControlLoop::CompletePendingRequests(ControlOutbox& outbox) {
  CompleteRequests(m_pending_syncs, outbox.m_sync_responses);
  CompleteRequests(m_pending_tokens, outbox.m_token_responses);
  for (const PromiseResponseCommand& command : outbox.m_promise_responses) {
    const auto found = m_pending_promises.find(command.m_handle);
    if (found != m_pending_promises.end()) {
      found->second.set_value(command.m_given);
      m_pending_promises.erase(found);
    }
  }
}

SyncResponse ControlLoop::HandleSync(SyncRequest request) {
  const uint64_t handle = ++m_last_handle;
  auto response = m_pending_syncs[handle].get_future();
  m_inbox.m_sync_requests.push_back({handle, std::move(request), Clock::now()});
  m_input_arrived.Notify();
  return response.get();
}

TokenResponse ControlLoop::HandleTokenRequest(TokenRequest request) {
  const uint64_t handle = ++m_last_handle;
  auto response = m_pending_tokens[handle].get_future();
  m_inbox.m_token_requests.push_back(
      {handle, std::move(request), Clock::now()});
  m_input_arrived.Notify();
  return response.get();
}

bool ControlLoop::HandlePromiseRequest(const std::string& cell,
                                       const ControlProcess& holder,
                                       uint64_t epoch) {
  const uint64_t handle = ++m_last_handle;
  auto response = m_pending_promises[handle].get_future();
  m_inbox.m_promise_requests.push_back({handle, cell, holder, epoch});
  m_input_arrived.Notify();
  return response.get();
}

void ControlLoop::RecordPeer(const ControlProcess& peer,
                             const std::string& data_centre) {
  m_inbox.m_peer_responses.push_back({peer, data_centre});
}

void ControlLoop::PollConfig() {
  m_tables.m_config.m_next_poll_at = Clock::now();
  m_input_arrived.Notify();
}

}  // namespace foxtail
