#include "scheduling/permit_grant_system.h"

#include <vector>

#include "scheduling/server_choice.h"
#include "scheduling/server_window.h"
#include "scheduling/wait_estimate.h"

namespace foxtail {
namespace {

// Requests that exclude all servers with room are passed over, up to this many:
// bounds the search in a long queue.
constexpr size_t kMaxSkipped = 8;

}  // namespace

void PermitGrantSystem::Run(PermitTables& tables, TimePoint now) {
  std::vector<ScheduledServerId> servers;
  std::vector<ServerGroupId> groups;
  for (const PermitQueueId id : tables.m_busy_queues) {
    const PermitQueueRow& queue = tables.m_queues.Get(id);
    if (queue.m_server.IsValid()) {
      servers.push_back(queue.m_server);
    } else {
      groups.push_back(queue.m_group);
    }
  }
  for (const ScheduledServerId id : servers) {
    GrantForServer(tables, id, false, now);
  }
  for (const ServerGroupId id : groups) {
    GrantForGroup(tables, id, now);
  }
  for (const ScheduledServerId id : servers) {
    GrantForServer(tables, id, true, now);
  }
}

// Where both kinds of requests wait, the one that is first by the order goes
// first, also if it can choose among servers.
void PermitGrantSystem::GrantForServer(PermitTables& tables,
                                       ScheduledServerId id,
                                       bool after_group,
                                       TimePoint now) {
  const ScheduledServerRow& server = tables.m_servers.Get(id);
  const PermitQueueRow& own = tables.m_queues.Get(server.m_queue);
  const ServerGroupRow* group = tables.m_groups.Find(server.m_group);
  while (!own.m_waiting.empty() &&
         ServerWindow(tables, server, now).HasRoom()) {
    const WaitingOrder::Next next =
        WaitingOrder::FindNext(tables, server.m_queue, {}, now);
    if (!next.m_id.IsValid()) {
      return;
    }
    if (!after_group && group && server.m_entry.m_eligible) {
      const PermitQueueRow& shared = tables.m_queues.Get(group->m_queue);
      if (!shared.m_waiting.empty() &&
          shared.m_waiting.begin()->first <
              tables.m_waiting.Get(next.m_id).m_key) {
        return;
      }
    }
    Grant(tables, next, id, now);
  }
}

void PermitGrantSystem::GrantForGroup(PermitTables& tables,
                                      ServerGroupId id,
                                      TimePoint now) {
  const ServerGroupRow& group = tables.m_groups.Get(id);
  const PermitQueueRow& queue = tables.m_queues.Get(group.m_queue);
  std::vector<WaitingRequestId> skipped;
  while (!queue.m_waiting.empty() && skipped.size() <= kMaxSkipped) {
    const WaitingOrder::Next next =
        WaitingOrder::FindNext(tables, group.m_queue, skipped, now);
    if (!next.m_id.IsValid()) {
      return;
    }
    const std::vector<std::string>& excluded =
        tables.m_waiting.Get(next.m_id).m_request.m_excluded;
    const ScheduledServerId server =
        ServerChoice::Choose(tables, group, excluded, now);
    if (server.IsValid()) {
      Grant(tables, next, server, now);
    } else if (excluded.empty()) {
      return;
    } else {
      skipped.push_back(next.m_id);
    }
  }
}

void PermitGrantSystem::Grant(PermitTables& tables,
                              const WaitingOrder::Next& next,
                              ScheduledServerId server_id,
                              TimePoint now) {
  ScheduledServerRow& server = tables.m_servers.Get(server_id);
  const WaitingRequestRow& waiting = tables.m_waiting.Get(next.m_id);
  PermitRow permit;
  permit.m_host = waiting.m_host;
  permit.m_ticket = waiting.m_request.m_ticket;
  permit.m_server = server_id;
  permit.m_server_name = server.m_entry.m_id;
  permit.m_priority = waiting.m_key.m_priority;
  permit.m_of_owner = !waiting.m_request.m_server.empty();
  permit.m_granted_at = now;
  permit.m_deadline = waiting.m_deadline;
  permit.m_in_use = ServerWindow(tables, server, now).InUse() + 1;
  const PermitId id = tables.m_permits.Insert(permit);
  server.m_active.push_back(id);

  AskingHostRow& host = tables.m_hosts.Get(waiting.m_host);
  host.m_tickets[permit.m_ticket] = {{}, id, {}};
  const PermitQueueRow& queue = tables.m_queues.Get(waiting.m_queue);
  AddDecision(tables, host,
              {permit.m_ticket,
               PermitState::kGranted,
               permit.m_server_name,
               {},
               WaitEstimate(tables.m_settings, queue, now)
                   .ForNewRequest(permit.m_priority)});
  PermitCounts& counts = GetCounts(tables, server.m_service, permit.m_priority);
  ++counts.m_granted;
  counts.m_waited += now - waiting.m_arrived_at;
  WaitingOrder::OnGranted(tables, next, now);
  RemoveWaiting(tables, next.m_id);
}

}  // namespace foxtail
