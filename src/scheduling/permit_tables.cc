#include "scheduling/permit_tables.h"

#include <algorithm>

#include "scheduling/retry_spread.h"
#include "scheduling/wait_estimate.h"

namespace foxtail {
namespace {

// A request that has been outstanding for longer than the measured time shows
// that the server has become slower, or is frozen, before any response does.
constexpr double kOutstandingFraction = 0.5;

}  // namespace

PermitCounts& GetCounts(PermitTables& tables,
                        const std::string& service,
                        uint32_t priority) {
  PermitCounts& counts = tables.m_counts[{service, priority}];
  counts.m_service = service;
  counts.m_priority = priority;
  return counts;
}

void AddDecision(PermitTables& tables,
                 const AskingHostRow& host,
                 PermitDecision decision) {
  if (!host.m_replaced) {
    tables.m_decisions[host.m_address].push_back(std::move(decision));
  }
}

WaitingRequestId InsertWaiting(PermitTables& tables,
                               WaitingRequestRow row,
                               TimePoint now) {
  PermitQueueRow& queue = tables.m_queues.Get(row.m_queue);
  PriorityClass& of_priority = queue.m_classes[row.m_key.m_priority];
  if (of_priority.m_waiting_in_time + of_priority.m_waiting_late == 0) {
    of_priority.m_unserved_since = now;
  }
  if (!row.m_key.m_late) {
    of_priority.m_target = row.m_target_at - now;
  }
  ++(row.m_key.m_late ? of_priority.m_waiting_late
                      : of_priority.m_waiting_in_time);
  const WaitingKey key = row.m_key;
  const WaitingRequestId id = tables.m_waiting.Insert(std::move(row));
  queue.m_waiting.emplace(key, id);
  queue.m_decisions_due.push_back(id);
  tables.m_busy_queues.insert(tables.m_waiting.Get(id).m_queue);
  return id;
}

void RemoveWaiting(PermitTables& tables, WaitingRequestId id) {
  const WaitingRequestRow& waiting = tables.m_waiting.Get(id);
  PermitQueueRow& queue = tables.m_queues.Get(waiting.m_queue);
  queue.m_waiting.erase(waiting.m_key);
  PriorityClass& of_priority = queue.m_classes[waiting.m_key.m_priority];
  --(waiting.m_key.m_late ? of_priority.m_waiting_late
                          : of_priority.m_waiting_in_time);
  if (queue.m_waiting.empty()) {
    queue.m_decisions_due.clear();
    tables.m_busy_queues.erase(waiting.m_queue);
  }
  tables.m_waiting.Erase(id);
}

void RejectWaiting(PermitTables& tables,
                   WaitingRequestId id,
                   PermitState state,
                   TimePoint now) {
  const WaitingRequestRow& waiting = tables.m_waiting.Get(id);
  PermitQueueRow& queue = tables.m_queues.Get(waiting.m_queue);
  PermitDecision decision;
  decision.m_ticket = waiting.m_request.m_ticket;
  decision.m_state = state;
  if (state == PermitState::kRefused) {
    decision.m_retry_after = RetrySpread::Next(queue, waiting.m_deadline - now,
                                               now, tables.m_random);
    decision.m_expected_wait = WaitEstimate(tables.m_settings, queue, now)
                                   .ForNewRequest(waiting.m_key.m_priority);
  }
  AskingHostRow& host = tables.m_hosts.Get(waiting.m_host);
  EndTicket(host, decision.m_ticket, decision, now);
  AddDecision(tables, host, std::move(decision));
  RemoveWaiting(tables, id);
}

void MarkLate(PermitTables& tables, WaitingRequestId id) {
  WaitingRequestRow& waiting = tables.m_waiting.Get(id);
  PermitQueueRow& queue = tables.m_queues.Get(waiting.m_queue);
  PriorityClass& of_priority = queue.m_classes[waiting.m_key.m_priority];
  queue.m_waiting.erase(waiting.m_key);
  waiting.m_key.m_late = true;
  queue.m_waiting.emplace(waiting.m_key, id);
  --of_priority.m_waiting_in_time;
  ++of_priority.m_waiting_late;
}

void EndPermit(PermitTables& tables, PermitId id, TimePoint now) {
  const PermitRow& permit = tables.m_permits.Get(id);
  if (ScheduledServerRow* server = tables.m_servers.Find(permit.m_server)) {
    std::erase(server->m_active, id);
    std::erase(server->m_unanswered, id);
  }
  if (AskingHostRow* host = tables.m_hosts.Find(permit.m_host)) {
    const auto ticket = host->m_tickets.find(permit.m_ticket);
    if (ticket != host->m_tickets.end() && ticket->second.m_permit == id) {
      EndTicket(*host, permit.m_ticket, {}, now);
    }
  }
  tables.m_permits.Erase(id);
}

void EndTicket(AskingHostRow& host,
               PermitTicket ticket,
               PermitDecision final_decision,
               TimePoint now) {
  final_decision.m_ticket = ticket;
  host.m_tickets[ticket] = {{}, {}, std::move(final_decision)};
  host.m_ended.emplace_back(now, ticket);
}

double ExpectedSeconds(const PermitTables& tables,
                       const ScheduledServerRow& server,
                       TimePoint now) {
  const ServerGroupRow* group = tables.m_groups.Find(server.m_group);
  double expected = server.m_speed.ExpectedSeconds(
      group ? group->m_speed.ExpectedSeconds(0, now) : 0, now);
  if (expected > 0) {
    for (const PermitId id : server.m_active) {
      const Duration age = now - tables.m_permits.Get(id).m_granted_at;
      expected = std::max(expected, kOutstandingFraction * ToSeconds(age));
    }
  }
  return expected;
}

}  // namespace foxtail
