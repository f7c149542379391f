#include "entry/dispatcher.h"

#include "core/error.h"
#include "entry/forwarding.h"
#include "runtime/address.h"

namespace foxtail {
namespace {

constexpr const char* kInstanceHeader = "x-server-instance";

SendOutcome ClassifyExchange(const ExchangeResult& result) {
  if (!result.m_ok) {
    if (result.m_progress == ExchangeProgress::kNothingSent) {
      return SendOutcome::kNotSent;
    }
    return result.m_timed_out ? SendOutcome::kTimedOut
                              : SendOutcome::kConnectionLost;
  }
  const auto execution = result.m_response.m_headers.Get(kExecutionHeader);
  return execution == NameOf(Execution::kNotRun) ? SendOutcome::kRefused
                                                 : SendOutcome::kResponded;
}

}  // namespace

Dispatcher::Dispatcher(DispatchSystem& system,
                       EventLog& events,
                       Metrics& metrics,
                       std::function<void(const std::string&)> trigger_report)
    : m_system(system),
      m_events(events),
      m_metrics(metrics),
      m_trigger_report(std::move(trigger_report)) {}

HttpResponse Dispatcher::Dispatch(const DispatchQuery& query,
                                  const HttpRequest& request) {
  const TicketNumber ticket = ++m_last_ticket;
  const DispatchServerId server = m_system.Admit(query, ticket, ReadClocks());
  WaitForSlot(query, server, ticket);
  if (!m_system.MaySend(query, server, Clock::now())) {
    m_system.ReleaseSlot(server);
    m_system.Abandon(query, server, ticket);
    DispatchWaiting(server);
    throw Error(ErrorCode::kNotDispatcher, query.m_cell);
  }
  return Send(query, server, request);
}

void Dispatcher::WaitForSlot(const DispatchQuery& query,
                             DispatchServerId server,
                             TicketNumber ticket) {
  WaitingRequest waiting;
  waiting.m_query = &query;
  waiting.m_server = server;
  m_waiting.emplace(ticket, &waiting);
  DispatchWaiting(server);
  while (!waiting.m_slot_granted && !waiting.m_rejected &&
         Clock::now() < query.m_deadline) {
    waiting.m_wakeup.WaitUntil(query.m_deadline);
  }
  m_waiting.erase(ticket);
  if (waiting.m_slot_granted) {
    return;
  }
  if (waiting.m_rejected) {
    throw Error(ErrorCode::kNotDispatcher, query.m_cell);
  }
  m_system.Abandon(query, server, ticket);
  throw Error(ErrorCode::kDeadlineExceeded, Execution::kNotRun,
              "while waiting for a slot");
}

void Dispatcher::DispatchWaiting(DispatchServerId server) {
  while (const auto slot = m_system.AcquireSlot(server)) {
    WaitingRequest& waiting = *m_waiting.at(slot->m_ticket);
    waiting.m_slot_granted = true;
    waiting.m_wakeup.Notify();
  }
}

void Dispatcher::DispatchAllWaiting() {
  m_system.GetTables().m_servers.ForEach(
      [&](DispatchServerId id, auto&) { DispatchWaiting(id); });
}

void Dispatcher::RejectUnsendable() {
  const TimePoint now = Clock::now();
  for (auto& [ticket, waiting] : m_waiting) {
    if (!waiting->m_slot_granted && !waiting->m_rejected &&
        !m_system.MaySend(*waiting->m_query, waiting->m_server, now)) {
      waiting->m_rejected = true;
      waiting->m_wakeup.Notify();
      // The request is removed from the queue here, so that it receives no slot
      // before its fiber runs.
      m_system.Abandon(*waiting->m_query, waiting->m_server, ticket);
    }
  }
}

HttpResponse Dispatcher::Send(const DispatchQuery& query,
                              DispatchServerId server,
                              const HttpRequest& request) {
  const auto target = m_system.TargetOf(query);
  const InFlightId in_flight = m_system.Begin(query, server);
  const TimePoint start = Clock::now();
  const HttpRequest outgoing =
      BuildBackendRequest(request, query, target->m_epoch, ReadClocks());
  ExchangeResult result =
      m_client.Exchange(ParseAddress(target->m_address), outgoing,
                        query.m_deadline, {.m_before_send = [&] {
                          return m_system.MaySend(query, server, Clock::now());
                        }});
  const SendOutcome outcome = ClassifyExchange(result);
  const TimePoint end = Clock::now();
  const std::string name = m_system.GetTables().m_servers.Get(server).m_name;
  m_metrics.Observe("foxtail_server_seconds", "server", name, end - start);
  const bool drained = m_system.End(
      query, in_flight, outcome,
      result.m_response.m_headers.GetOr(kInstanceHeader, ""), end - start, end);
  DispatchWaiting(server);
  if (drained || outcome == SendOutcome::kConnectionLost ||
      outcome == SendOutcome::kNotSent) {
    m_trigger_report(query.m_cell);
  }
  if (outcome == SendOutcome::kConnectionLost) {
    m_events.Write(EventNumber::kRequestSuspected,
                   {{"cell", query.m_cell},
                    {"server", name},
                    {"request", query.m_id.m_text},
                    {"fingerprint", std::to_string(query.m_fingerprint)}});
  }
  return BuildResponse(query, outcome, result);
}

// The only place that decides what the client learns about execution.
HttpResponse Dispatcher::BuildResponse(const DispatchQuery& query,
                                       SendOutcome outcome,
                                       ExchangeResult& result) {
  switch (outcome) {
    case SendOutcome::kResponded:
      return BuildClientResponse(std::move(result.m_response));
    case SendOutcome::kRefused:
      throw Error(ErrorCode::kServerRefused, query.m_cell);
    case SendOutcome::kNotSent:
      throw Error(ErrorCode::kNetwork, Execution::kNotRun, query.m_cell);
    case SendOutcome::kConnectionLost:
      throw Error(ErrorCode::kServerLost, query.m_cell);
    case SendOutcome::kTimedOut:
      break;
  }
  throw Error(ErrorCode::kDeadlineExceeded, query.m_cell);
}

}  // namespace foxtail
