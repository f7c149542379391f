#include "scheduling/permit_scheduler.h"

#include <algorithm>
#include <utility>

#include "scheduling/holder_system.h"
#include "scheduling/permit_grant_system.h"
#include "scheduling/permit_tables.h"
#include "scheduling/queue_capacity_system.h"
#include "scheduling/refusal_system.h"
#include "scheduling/server_registry.h"

namespace foxtail {
namespace {

// Interval at which ended tickets and expired permits are removed.
constexpr std::chrono::milliseconds kIdleInterval{500};

}  // namespace

struct PermitScheduler::State {
  PermitTables m_tables;
};

PermitScheduler::PermitScheduler(const PermitSchedulerSettings& settings)
    : m_state(std::make_unique<State>()) {
  m_state->m_tables.m_settings = settings;
}

PermitScheduler::~PermitScheduler() = default;

void PermitScheduler::SetServers(const std::string& service,
                                 const std::vector<SchedulableServer>& servers,
                                 TimePoint now) {
  ServerRegistry::SetServers(m_state->m_tables, service, servers, now);
  m_state->m_tables.m_run_due = true;
}

void PermitScheduler::Stop() {
  PermitTables& tables = m_state->m_tables;
  tables.m_stopped = true;
  tables.m_run_due = true;
  tables.m_queues.ForEach([&](PermitQueueId, PermitQueueRow& queue) {
    while (!queue.m_waiting.empty()) {
      RejectWaiting(tables, queue.m_waiting.begin()->second,
                    PermitState::kUnavailable, tables.m_last_run_at);
    }
  });
}

void PermitScheduler::Receive(const PermitRequests& message, TimePoint now) {
  HolderSystem::Receive(m_state->m_tables, message, now);
  m_state->m_tables.m_run_due = true;
}

std::vector<AddressedDecisions> PermitScheduler::Run(TimePoint now) {
  PermitTables& tables = m_state->m_tables;
  // 1. End expired permits and the requests of silent hosts.
  HolderSystem::Run(tables, now);
  // 2. Measure what the servers can do.
  QueueCapacitySystem::Run(tables, now);
  // 3. Grant the free permits.
  PermitGrantSystem::Run(tables, now);
  // 4. Refuse what can no longer be served.
  RefusalSystem::Run(tables, now);
  tables.m_last_run_at = now;
  tables.m_run_due = false;

  std::vector<AddressedDecisions> decisions;
  for (auto& [address, of_host] : std::exchange(tables.m_decisions, {})) {
    decisions.push_back({address, std::move(of_host)});
  }
  return decisions;
}

TimePoint PermitScheduler::FindNextRun() const {
  const PermitTables& tables = m_state->m_tables;
  if (tables.m_run_due) {
    return tables.m_last_run_at;
  }
  if (tables.m_waiting.size() > 0) {
    return tables.m_last_run_at + RefusalSystem::kInterval;
  }
  return tables.m_hosts.size() > 0 ? tables.m_last_run_at + kIdleInterval
                                   : TimePoint::max();
}

std::vector<PermitCounts> PermitScheduler::TakeCounts() {
  std::vector<PermitCounts> counts;
  for (auto& [name, of_class] : std::exchange(m_state->m_tables.m_counts, {})) {
    counts.push_back(of_class);
  }
  return counts;
}

}  // namespace foxtail
