#include "scheduling/server_registry.h"

#include <set>
#include <utility>

#include "scheduling/scheduler_map.h"

namespace foxtail {

void ServerRegistry::SetServers(PermitTables& tables,
                                const std::string& service,
                                const std::vector<SchedulableServer>& servers,
                                TimePoint now) {
  std::set<std::string> registered;
  for (const SchedulableServer& entry : servers) {
    registered.insert(entry.m_id);
    InsertOrUpdate(tables, service, entry);
  }
  std::erase_if(tables.m_servers_by_name, [&](const auto& named) {
    if (named.first.first != service ||
        registered.contains(named.first.second)) {
      return false;
    }
    EraseQueue(tables, tables.m_servers.Get(named.second).m_queue, now);
    tables.m_servers.Erase(named.second);
    return true;
  });
  FormGroups(tables, service, now);
}

void ServerRegistry::InsertOrUpdate(PermitTables& tables,
                                    const std::string& service,
                                    const SchedulableServer& entry) {
  const auto [named, is_new] = tables.m_servers_by_name.try_emplace(
      {service, entry.m_id}, ScheduledServerId());
  if (is_new) {
    ScheduledServerRow row;
    row.m_service = service;
    row.m_entry = entry;
    named->second = tables.m_servers.Insert(std::move(row));
    PermitQueueRow queue;
    queue.m_service = service;
    queue.m_server = named->second;
    tables.m_servers.Get(named->second).m_queue =
        tables.m_queues.Insert(std::move(queue));
    return;
  }
  ScheduledServerRow& row = tables.m_servers.Get(named->second);
  if (row.m_entry.m_incarnation != entry.m_incarnation) {
    // What the former run did and showed tells nothing of the new one. The
    // hosts' permits for it no longer count.
    for (const PermitId id : row.m_active) {
      tables.m_permits.Get(id).m_server = {};
    }
    for (const PermitId id : row.m_unanswered) {
      tables.m_permits.Get(id).m_server = {};
    }
    ScheduledServerRow fresh;
    fresh.m_service = service;
    fresh.m_queue = row.m_queue;
    row = std::move(fresh);
  }
  row.m_entry = entry;
  tables.m_queues.Get(row.m_queue).m_measured_at = {};
}

void ServerRegistry::EraseQueue(PermitTables& tables,
                                PermitQueueId id,
                                TimePoint now) {
  PermitQueueRow& queue = tables.m_queues.Get(id);
  while (!queue.m_waiting.empty()) {
    RejectWaiting(tables, queue.m_waiting.begin()->second,
                  PermitState::kUnavailable, now);
  }
  tables.m_queues.Erase(id);
}

void ServerRegistry::FormGroups(PermitTables& tables,
                                const std::string& service,
                                TimePoint now) {
  std::map<std::string, std::vector<ScheduledServerId>> by_data_centre;
  for (const auto& [name, id] : tables.m_servers_by_name) {
    if (name.first == service) {
      by_data_centre[tables.m_servers.Get(id).m_entry.m_data_centre].push_back(
          id);
    }
  }
  std::map<std::pair<std::string, uint32_t>, std::vector<ScheduledServerId>>
      groups;
  for (const auto& [data_centre, ids] : by_data_centre) {
    const uint32_t count = CountGroups(ids.size());
    for (const ScheduledServerId id : ids) {
      const uint32_t number =
          GroupOf(tables.m_servers.Get(id).m_entry.m_id, count);
      groups[{data_centre, number}].push_back(id);
    }
  }
  std::erase_if(tables.m_groups_by_name, [&](const auto& named) {
    const auto& [of_service, data_centre, number] = named.first;
    if (of_service != service || groups.contains({data_centre, number})) {
      return false;
    }
    EraseQueue(tables, tables.m_groups.Get(named.second).m_queue, now);
    tables.m_groups.Erase(named.second);
    return true;
  });
  for (auto& [name, ids] : groups) {
    const auto [named, is_new] = tables.m_groups_by_name.try_emplace(
        {service, name.first, name.second}, ServerGroupId());
    if (is_new) {
      named->second = tables.m_groups.Insert({});
      PermitQueueRow queue;
      queue.m_service = service;
      queue.m_group = named->second;
      tables.m_groups.Get(named->second).m_queue =
          tables.m_queues.Insert(std::move(queue));
    }
    for (const ScheduledServerId id : ids) {
      tables.m_servers.Get(id).m_group = named->second;
    }
    ServerGroupRow& group = tables.m_groups.Get(named->second);
    group.m_servers = std::move(ids);
    tables.m_queues.Get(group.m_queue).m_measured_at = {};
  }
}

}  // namespace foxtail
