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

// Longest time between ticks when nothing arrives.
constexpr milliseconds kTickPeriod{20};
constexpr milliseconds kPromiseTimeout{300};
constexpr double kPlacementBound = 1.1;
constexpr int kStatusOk = 200;

std::unique_ptr<PlacementStrategy> PlacementOf(const DaemonSettings& settings) {
  if (settings.m_placement == "rendezvous") {
    return std::make_unique<RendezvousPlacement>();
  }
  return std::make_unique<BoundedLoadPlacement>(kPlacementBound);
}

HttpRequest GrantRequest(const SendGrant& grant) {
  Json::Value body;
  body["service"] = grant.m_cell_name;
  body["control_epoch"] = Json::UInt64(grant.m_control_epoch);
  body["number"] = Json::UInt64(grant.m_number);
  body["lifetime_ms"] = Json::Int64(grant.m_lifetime.count());
  body["expires_unix_ms"] =
      Json::Int64(grant.m_expires.time_since_epoch().count());
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
      m_tick(PlacementOf(settings)) {
  m_tables.m_self = std::move(self);
  m_tables.m_data_centre = settings.m_data_centre;
  m_tables.m_started = Clock::now();
  m_tables.m_settings.m_lease_hold = settings.m_lease_hold;
  m_tables.m_settings.m_lease_take = settings.m_lease_take;
}

void ControlLoop::Run() {
  while (!MayEnd()) {
    Tick();
    const bool arrived = !m_inbox.m_rows.empty() || !m_inbox.m_syncs.empty() ||
                         !m_inbox.m_tokens.empty();
    if (!arrived) {
      m_arrived.WaitUntil(Clock::now() + kTickPeriod);
    }
  }
}

void ControlLoop::Stop() {
  m_tables.m_stopping = true;
  m_arrived.Notify();
}

bool ControlLoop::MayEnd() const {
  if (!m_tables.m_stopping) {
    return false;
  }
  bool holds = false;
  m_tables.m_cells.ForEach([&](auto, const CellRow& cell) {
    holds = holds || cell.m_lease.m_phase != LeasePhase::kWatching;
  });
  return !holds;
}

void ControlLoop::Tick() {
  ControlInbox inbox;
  std::swap(inbox, m_inbox);
  ControlOutbox outbox;
  const Now now = ReadClocks();
  m_tick.Run(m_tables, inbox, outbox, now);
  ++m_tick_count;
  m_longest_tick = std::max(m_longest_tick, Clock::now() - now.m_steady);
  CarryOut(outbox);
}

void ControlLoop::CarryOut(ControlOutbox& outbox) {
  for (const NoteEvent& note : outbox.m_events) {
    m_events.Write(note.m_number, note.m_fields);
  }
  AnswerWaiting(outbox);
  CarryOutRows(outbox);
  CarryOutServers(outbox);
  for (const AskPromise& ask : outbox.m_promises) {
    StartFiber([this, ask] { AskForPromise(ask); });
  }
}

void ControlLoop::CarryOutRows(ControlOutbox& outbox) {
  for (const ReadRow& read : outbox.m_reads) {
    StartFiber([this, read, sent = Clock::now()] {
      RowAnswer answer{read.m_purpose, read.m_cell, false, {}, sent};
      answer.m_result = m_store.Read(read.m_key);
      NotePlatform(answer.m_result.m_outcome != RowOutcome::kNoResponse);
      m_inbox.m_rows.push_back(std::move(answer));
      m_arrived.Notify();
    });
  }
  for (WriteRow& write : outbox.m_writes) {
    StartFiber([this, write = std::move(write), sent = Clock::now()] {
      RowAnswer answer{write.m_purpose, write.m_cell, true, {}, sent};
      answer.m_result =
          m_store.Write(write.m_key, write.m_if_version, write.m_value);
      NotePlatform(answer.m_result.m_outcome != RowOutcome::kNoResponse);
      m_inbox.m_rows.push_back(std::move(answer));
      m_arrived.Notify();
    });
  }
}

void ControlLoop::NotePlatform(bool answers) {
  if (answers != m_platform_answers) {
    m_platform_answers = answers;
    if (answers) {
      m_events.Write(EventNumber::kPlatformReachable, {});
    } else {
      m_events.Write(EventNumber::kPlatformUnreachable,
                     {{"error", "platform_unavailable"}});
    }
  }
}

void ControlLoop::CarryOutServers(ControlOutbox& outbox) {
  for (SendGrant& grant : outbox.m_grants) {
    StartFiber([this, grant = std::move(grant)] { SendGrantTo(grant); });
  }
  for (const SendProbe& probe : outbox.m_probes) {
    StartFiber([this, probe] { ProbeServer(probe); });
  }
}

void ControlLoop::SendGrantTo(const SendGrant& grant) {
  GrantAnswer answer;
  answer.m_server = grant.m_server;
  answer.m_number = grant.m_number;
  const ExchangeResult result =
      m_client.Exchange(ParseAddress(grant.m_address), GrantRequest(grant),
                        Clock::now() + m_settings.m_server_timeout);
  answer.m_accepted = result.m_ok && result.m_response.m_status == kStatusOk;
  m_inbox.m_grants.push_back(std::move(answer));
  m_arrived.Notify();
}

void ControlLoop::ProbeServer(const SendProbe& probe) {
  HttpRequest request;
  request.m_target = "/health";
  ProbeAnswer answer;
  answer.m_server = probe.m_server;
  const ExchangeResult result =
      m_client.Exchange(ParseAddress(probe.m_address), request,
                        Clock::now() + m_settings.m_server_timeout);
  answer.m_answered = result.m_ok && result.m_response.m_status == kStatusOk;
  answer.m_incarnation =
      result.m_response.m_headers.GetOr("x-server-instance", "");
  m_inbox.m_probes.push_back(std::move(answer));
  m_arrived.Notify();
}

void ControlLoop::AskForPromise(const AskPromise& ask) {
  PromiseAnswer answer;
  answer.m_cell = ask.m_cell;
  answer.m_standby = ask.m_standby;
  answer.m_epoch = ask.m_epoch;
  answer.m_sent = Clock::now();
  try {
    const ControlRpcClient client(m_client, m_settings.m_cluster_secret,
                                  kPromiseTimeout);
    answer.m_given = client.AskPromise(ask, m_tables.m_self);
  } catch (const Error&) {
    answer.m_given = false;
  }
  m_inbox.m_promises.push_back(std::move(answer));
  m_arrived.Notify();
}

template <typename Response, typename Answers>
void ControlLoop::Complete(Waiting<Response>& waiting, Answers& answers) {
  for (auto& answer : answers) {
    const auto found = waiting.find(answer.m_handle);
    if (found != waiting.end()) {
      found->second.set_value(std::move(answer.m_response));
      waiting.erase(found);
    }
  }
}

void ControlLoop::AnswerWaiting(ControlOutbox& outbox) {
  Complete(m_syncs, outbox.m_syncs);
  Complete(m_tokens, outbox.m_tokens);
  for (const GivePromise& answer : outbox.m_promise_answers) {
    const auto found = m_promises.find(answer.m_handle);
    if (found != m_promises.end()) {
      found->second.set_value(answer.m_given);
      m_promises.erase(found);
    }
  }
}

SyncResponse ControlLoop::Sync(SyncRequest request) {
  const uint64_t handle = ++m_last_handle;
  auto answer = m_syncs[handle].get_future();
  m_inbox.m_syncs.push_back({handle, std::move(request), Clock::now()});
  m_arrived.Notify();
  return answer.get();
}

TokenResponse ControlLoop::Tokens(TokenRequest request) {
  const uint64_t handle = ++m_last_handle;
  auto answer = m_tokens[handle].get_future();
  m_inbox.m_tokens.push_back({handle, std::move(request), Clock::now()});
  m_arrived.Notify();
  return answer.get();
}

bool ControlLoop::Promise(const std::string& cell,
                          const ControlProcess& holder,
                          uint64_t epoch) {
  const uint64_t handle = ++m_last_handle;
  auto answer = m_promises[handle].get_future();
  m_inbox.m_promises_asked.push_back({handle, cell, holder, epoch});
  m_arrived.Notify();
  return answer.get();
}

void ControlLoop::NotePeer(const ControlProcess& peer,
                           const std::string& data_centre) {
  m_inbox.m_peers.push_back({peer, data_centre});
}

void ControlLoop::PollConfig() {
  m_tables.m_config.m_next_poll = Clock::now();
  m_arrived.Notify();
}

}  // namespace foxtail
