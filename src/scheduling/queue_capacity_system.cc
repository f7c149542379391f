#include "scheduling/queue_capacity_system.h"

#include <algorithm>

#include "scheduling/server_window.h"

namespace foxtail {
namespace {

// After this time, the keys of a server that is leaving have moved or the
// server has ended.
constexpr std::chrono::seconds kLeavingTime{1};

// The capacity changes little within this time, and measuring it visits all
// servers of the queue.
constexpr std::chrono::milliseconds kInterval{10};

// Sums over the servers of a queue.
struct Totals {
  // Requests per second, of the servers that take requests and of all.
  double m_open_capacity = 0;
  double m_capacity = 0;
  double m_slots = 0;
  TimePoint m_open_at = TimePoint::max();
  bool m_has_servers = false;
  bool m_is_known = true;
};

void AddServer(const PermitTables& tables,
               const ScheduledServerRow& server,
               TimePoint now,
               Totals& totals) {
  totals.m_has_servers = true;
  const ServerWindow window(tables, server, now);
  const uint32_t size = window.Size();
  const TimePoint open_at =
      server.m_leaving ? now + kLeavingTime : server.m_closed_until;
  totals.m_open_at = std::min(totals.m_open_at, open_at);
  const double seconds = ExpectedSeconds(tables, server, now);
  if (seconds <= 0) {
    totals.m_is_known = false;
    return;
  }
  const uint32_t slots = std::max(1U, server.m_entry.m_slots);
  const uint32_t usable =
      window.IsProbed() ? 1 : std::min(slots, std::max(size, 1U));
  totals.m_capacity += usable / seconds;
  totals.m_open_capacity += size > 0 ? usable / seconds : 0;
  totals.m_slots += usable;
}

}  // namespace

void QueueCapacitySystem::Run(PermitTables& tables, TimePoint now) {
  for (const PermitQueueId id : tables.m_busy_queues) {
    PermitQueueRow& queue = tables.m_queues.Get(id);
    if (now - queue.m_measured_at >= kInterval) {
      Update(tables, queue, now);
    }
  }
}

void QueueCapacitySystem::Update(PermitTables& tables,
                                 PermitQueueRow& queue,
                                 TimePoint now) {
  queue.m_measured_at = now;
  Totals totals;
  if (const ScheduledServerRow* server =
          tables.m_servers.Find(queue.m_server)) {
    AddServer(tables, *server, now, totals);
  } else if (const ServerGroupRow* group =
                 tables.m_groups.Find(queue.m_group)) {
    for (const ScheduledServerId id : group->m_servers) {
      const ScheduledServerRow& member = tables.m_servers.Get(id);
      if (member.m_entry.m_eligible && !member.m_leaving) {
        AddServer(tables, member, now, totals);
      }
    }
  }
  queue.m_has_servers = totals.m_has_servers;
  queue.m_open_at = totals.m_has_servers ? totals.m_open_at : now;
  // While all servers are closed, their capacity is that after they open.
  queue.m_capacity = !totals.m_is_known           ? 0
                     : totals.m_open_capacity > 0 ? totals.m_open_capacity
                                                  : totals.m_capacity;
  // The mean over requests: a faster server runs more of them.
  queue.m_service_seconds =
      totals.m_capacity > 0 ? totals.m_slots / totals.m_capacity : 0;
}

}  // namespace foxtail
