#include "scheduling/refusal_system.h"

#include <utility>
#include <vector>

#include "scheduling/wait_estimate.h"

namespace foxtail {

void RefusalSystem::Run(PermitTables& tables, TimePoint now) {
  const bool judge_all = now - tables.m_last_judged_at >= kInterval;
  if (judge_all) {
    tables.m_last_judged_at = now;
  }
  for (const PermitQueueId id : std::vector<PermitQueueId>(
           tables.m_busy_queues.begin(), tables.m_busy_queues.end())) {
    PermitQueueRow& queue = tables.m_queues.Get(id);
    if (judge_all || !queue.m_has_servers) {
      JudgeAll(tables, queue, now);
    }
    JudgeNew(tables, queue, now);
  }
}

void RefusalSystem::JudgeNew(PermitTables& tables,
                             PermitQueueRow& queue,
                             TimePoint now) {
  const std::vector<WaitingRequestId> due =
      std::exchange(queue.m_decisions_due, {});
  const WaitEstimate estimate(tables.m_settings, queue, now);
  for (const WaitingRequestId id : due) {
    WaitingRequestRow* waiting = tables.m_waiting.Find(id);
    if (!waiting) {
      continue;  // granted or refused meanwhile
    }
    // A repeated request has been judged before.
    if (!waiting->m_judged) {
      waiting->m_judged = true;
      if (!estimate.CanAnswerNewRequest(*waiting)) {
        ++GetCounts(tables, queue.m_service, waiting->m_key.m_priority)
              .m_refused_at_arrival;
        RejectWaiting(tables, id, PermitState::kRefused, now);
        continue;
      }
    }
    AddDecision(tables, tables.m_hosts.Get(waiting->m_host),
                {waiting->m_request.m_ticket,
                 PermitState::kQueued,
                 {},
                 {},
                 estimate.ForNewRequest(waiting->m_key.m_priority)});
  }
}

void RefusalSystem::JudgeAll(PermitTables& tables,
                             PermitQueueRow& queue,
                             TimePoint now) {
  const WaitEstimate estimate(tables.m_settings, queue, now);
  uint32_t late_ahead = 0;
  for (auto entry = queue.m_waiting.begin(); entry != queue.m_waiting.end();) {
    const auto [key, id] = *entry++;
    const WaitingRequestRow& waiting = tables.m_waiting.Get(id);
    if (!queue.m_has_servers) {
      RejectWaiting(tables, id, PermitState::kUnavailable, now);
      continue;
    }
    if (!key.m_late && !estimate.CanMeetTarget(waiting.m_target_at)) {
      MarkLate(tables, id);  // the entry comes again, among the late ones
      continue;
    }
    if (!waiting.m_judged) {
      late_ahead += key.m_late ? 1 : 0;
      continue;
    }
    if (!estimate.CanRespondBy(waiting.m_deadline) ||
        (key.m_late && !estimate.CanAnswerLateRequest(waiting, late_ahead))) {
      ++GetCounts(tables, queue.m_service, key.m_priority).m_refused_later;
      RejectWaiting(tables, id, PermitState::kRefused, now);
    } else {
      late_ahead += key.m_late ? 1 : 0;
    }
  }
}

}  // namespace foxtail
