#include "scheduling/holder_system.h"

#include <algorithm>
#include <set>

#include "scheduling/queue_capacity_system.h"
#include "scheduling/server_feedback.h"
#include "scheduling/wait_estimate.h"

namespace foxtail {
namespace {

// An adopted permit, whose deadline is not known, counts until its host has not
// listed it for this long.
constexpr std::chrono::seconds kAdoptedPermitTime{2};

// Ended tickets are remembered for as long as datagrams may be late or
// repeated, and up to this many for each host.
constexpr std::chrono::seconds kEndedTicketTime{5};
constexpr size_t kMaxEndedTickets = 4096;

// Hosts without permits are forgotten after this silence. Until then, messages
// of an earlier run are recognized as such.
constexpr std::chrono::seconds kForgetHostTime{30};

// What has expired is ended this often: each message runs the systems, and most
// find nothing to end.
constexpr std::chrono::milliseconds kSweepInterval{20};

// If this process has not run for this long, hosts seem silent that are not.
constexpr std::chrono::milliseconds kOwnDelay{500};

}  // namespace

void HolderSystem::Receive(PermitTables& tables,
                           const PermitRequests& message,
                           TimePoint now) {
  const AskingHostId id = FindOrInsertHost(tables, message, now);
  if (!id.IsValid()) {
    return;
  }
  for (const PermitReturn& returned : message.m_returns) {
    ApplyReturn(tables, id, returned, now);
  }
  for (const PermitRequest& request : message.m_requests) {
    ApplyRequest(tables, id, request, now);
  }
  if (message.m_complete) {
    Reconcile(tables, id, message, now);
  }
}

AskingHostId HolderSystem::FindOrInsertHost(PermitTables& tables,
                                            const PermitRequests& message,
                                            TimePoint now) {
  const auto found = tables.m_hosts_by_address.find(message.m_address);
  if (found != tables.m_hosts_by_address.end()) {
    AskingHostRow& current = tables.m_hosts.Get(found->second);
    if (current.m_incarnation == message.m_incarnation) {
      current.m_heard_at = now;
      return found->second;
    }
    const AskingHostId earlier =
        tables.m_hosts.FindIf([&](const AskingHostRow& host) {
          return host.m_replaced && host.m_address == message.m_address &&
                 host.m_incarnation == message.m_incarnation;
        });
    if (earlier.IsValid()) {
      return {};
    }
    // The servers may still run what the former run has sent, so its permits
    // stay until their deadlines.
    DropWaiting(tables, current);
    current.m_replaced = true;
  }
  AskingHostRow host;
  host.m_address = message.m_address;
  host.m_incarnation = message.m_incarnation;
  host.m_heard_at = now;
  const AskingHostId id = tables.m_hosts.Insert(std::move(host));
  tables.m_hosts_by_address[message.m_address] = id;
  return id;
}

void HolderSystem::ApplyReturn(PermitTables& tables,
                               AskingHostId host_id,
                               const PermitReturn& returned,
                               TimePoint now) {
  AskingHostRow& host = tables.m_hosts.Get(host_id);
  const auto found = host.m_tickets.find(returned.m_ticket);
  if (found == host.m_tickets.end()) {
    // A return that has overtaken its request also ends the ticket.
    EndTicket(host, returned.m_ticket, {}, now);
  } else if (found->second.m_permit.IsValid()) {
    ServerFeedback(tables, now).Apply(found->second.m_permit, returned);
  } else if (found->second.m_waiting.IsValid()) {
    const WaitingRequestId waiting = found->second.m_waiting;
    const WaitingRequestRow& row = tables.m_waiting.Get(waiting);
    ++GetCounts(tables, row.m_request.m_service, row.m_key.m_priority)
          .m_abandoned;
    RemoveWaiting(tables, waiting);
    EndTicket(host, returned.m_ticket, {}, now);
  }
}

void HolderSystem::ApplyRequest(PermitTables& tables,
                                AskingHostId host_id,
                                const PermitRequest& request,
                                TimePoint now) {
  AskingHostRow& host = tables.m_hosts.Get(host_id);
  const auto found = host.m_tickets.find(request.m_ticket);
  if (found != host.m_tickets.end()) {
    Repeat(tables, host, request.m_ticket, found->second);
    return;
  }
  const PermitQueueId queue_id =
      tables.m_stopped ? PermitQueueId() : FindQueue(tables, request);
  if (!queue_id.IsValid()) {
    AddDecision(tables, host,
                {request.m_ticket, PermitState::kUnavailable, {}, {}, {}});
    return;
  }
  PermitQueueRow& queue = tables.m_queues.Get(queue_id);
  if (queue.m_waiting.empty()) {
    QueueCapacitySystem::Update(tables, queue, now);
  }
  WaitingRequestRow waiting;
  waiting.m_host = host_id;
  waiting.m_queue = queue_id;
  waiting.m_request = request;
  waiting.m_arrived_at = now;
  waiting.m_deadline = now + request.m_time_left;
  waiting.m_target_at = now + request.m_target_left;
  waiting.m_key = {!WaitEstimate(tables.m_settings, queue, now)
                        .CanMeetTarget(waiting.m_target_at),
                   request.m_priority, !request.m_returning,
                   ++tables.m_last_arrival};
  host.m_tickets[request.m_ticket] = {
      InsertWaiting(tables, std::move(waiting), now), {}, {}};
}

void HolderSystem::Repeat(PermitTables& tables,
                          const AskingHostRow& host,
                          PermitTicket ticket,
                          const TicketState& state) {
  if (const auto* waiting = tables.m_waiting.Find(state.m_waiting)) {
    tables.m_queues.Get(waiting->m_queue)
        .m_decisions_due.push_back(state.m_waiting);
  } else if (const PermitRow* permit = tables.m_permits.Find(state.m_permit)) {
    AddDecision(tables, host,
                {ticket, PermitState::kGranted, permit->m_server_name, {}, {}});
  } else {
    AddDecision(tables, host, state.m_final);
  }
}

PermitQueueId HolderSystem::FindQueue(const PermitTables& tables,
                                      const PermitRequest& request) {
  if (!request.m_server.empty()) {
    const auto found =
        tables.m_servers_by_name.find({request.m_service, request.m_server});
    return found == tables.m_servers_by_name.end()
               ? PermitQueueId()
               : tables.m_servers.Get(found->second).m_queue;
  }
  const auto found = tables.m_groups_by_name.find(
      {request.m_service, request.m_data_centre, request.m_group});
  return found == tables.m_groups_by_name.end()
             ? PermitQueueId()
             : tables.m_groups.Get(found->second).m_queue;
}

void HolderSystem::Reconcile(PermitTables& tables,
                             AskingHostId host_id,
                             const PermitRequests& message,
                             TimePoint now) {
  AskingHostRow& host = tables.m_hosts.Get(host_id);
  std::set<PermitTicket> listed;
  for (const PermitRequest& request : message.m_requests) {
    listed.insert(request.m_ticket);
  }
  for (const HeldPermit& held : message.m_held) {
    listed.insert(held.m_ticket);
    const auto found = host.m_tickets.find(held.m_ticket);
    if (found == host.m_tickets.end()) {
      AdoptPermit(tables, host_id, held, now);
    } else if (PermitRow* permit =
                   tables.m_permits.Find(found->second.m_permit);
               permit && permit->m_is_adopted) {
      permit->m_deadline = now + kAdoptedPermitTime;
    } else if (held.m_server.empty() && !found->second.m_waiting.IsValid()) {
      Repeat(tables, host, held.m_ticket, found->second);
    }
  }
  std::vector<WaitingRequestId> waiting;
  std::vector<PermitId> permits;
  for (const auto& [ticket, state] : host.m_tickets) {
    if (ticket > message.m_last_ticket || listed.contains(ticket)) {
      continue;
    }
    if (state.m_waiting.IsValid()) {
      waiting.push_back(state.m_waiting);
    } else if (state.m_permit.IsValid()) {
      permits.push_back(state.m_permit);
    }
  }
  for (const WaitingRequestId id : waiting) {
    const WaitingRequestRow& row = tables.m_waiting.Get(id);
    ++GetCounts(tables, row.m_request.m_service, row.m_key.m_priority)
          .m_abandoned;
    EndTicket(host, row.m_request.m_ticket, {}, now);
    RemoveWaiting(tables, id);
  }
  for (const PermitId id : permits) {
    EndPermit(tables, id, now);
  }
}

void HolderSystem::AdoptPermit(PermitTables& tables,
                               AskingHostId host_id,
                               const HeldPermit& held,
                               TimePoint now) {
  const ScheduledServerId server_id =
      tables.m_servers.FindIf([&](const ScheduledServerRow& server) {
        return server.m_entry.m_id == held.m_server;
      });
  if (!server_id.IsValid()) {
    return;
  }
  PermitRow permit;
  permit.m_host = host_id;
  permit.m_ticket = held.m_ticket;
  permit.m_server = server_id;
  permit.m_server_name = held.m_server;
  permit.m_granted_at = now;
  permit.m_is_adopted = true;
  permit.m_deadline = now + kAdoptedPermitTime;
  const PermitId id = tables.m_permits.Insert(std::move(permit));
  tables.m_servers.Get(server_id).m_active.push_back(id);
  tables.m_hosts.Get(host_id).m_tickets[held.m_ticket] = {{}, id, {}};
}

void HolderSystem::DropWaiting(PermitTables& tables, AskingHostRow& host) {
  std::erase_if(host.m_tickets, [&](const auto& ticket) {
    const WaitingRequestRow* row =
        tables.m_waiting.Find(ticket.second.m_waiting);
    if (!row) {
      return false;
    }
    ++GetCounts(tables, row->m_request.m_service, row->m_key.m_priority)
          .m_abandoned;
    RemoveWaiting(tables, ticket.second.m_waiting);
    return true;
  });
}

void HolderSystem::Run(PermitTables& tables, TimePoint now) {
  const bool was_late = tables.m_last_run_at != TimePoint() &&
                        now - tables.m_last_run_at > kOwnDelay;
  if (now - tables.m_last_swept_at < kSweepInterval) {
    return;
  }
  tables.m_last_swept_at = now;
  tables.m_permits.ForEach([&](PermitId id, const PermitRow& permit) {
    if (permit.m_deadline <= now) {
      EndPermit(tables, id, now);
    }
  });
  tables.m_hosts.ForEach([&](AskingHostId id, AskingHostRow& host) {
    if (was_late && !host.m_replaced) {
      host.m_heard_at = now;
    }
    const Duration silence = now - host.m_heard_at;
    if (silence > tables.m_settings.m_holder_silence) {
      DropWaiting(tables, host);
    }
    while (!host.m_ended.empty() &&
           (host.m_ended.size() > kMaxEndedTickets ||
            now - host.m_ended.front().first > kEndedTicketTime)) {
      host.m_tickets.erase(host.m_ended.front().second);
      host.m_ended.pop_front();
    }
    if (host.m_tickets.empty() && silence > kForgetHostTime) {
      if (!host.m_replaced) {
        tables.m_hosts_by_address.erase(host.m_address);
      }
      tables.m_hosts.Erase(id);
    }
  });
}

}  // namespace foxtail
