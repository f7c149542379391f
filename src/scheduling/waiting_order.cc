#include "scheduling/waiting_order.h"

#include <algorithm>

#include "scheduling/wait_estimate.h"

namespace foxtail {
namespace {

// Bounds the credit that collects while no class is entitled to it.
constexpr double kMaxFairCredit = 2;

// Shortest target that waiting times are compared with.
constexpr std::chrono::milliseconds kMinTarget{50};

// Returns the first request at or after `first` that may be chosen. Requests
// found to be late are moved behind the others.
WaitingRequestId FindFrom(PermitTables& tables,
                          PermitQueueRow& queue,
                          const WaitingKey& first,
                          const std::vector<WaitingRequestId>& skipped,
                          TimePoint now) {
  const WaitEstimate estimate(tables.m_settings, queue, now);
  auto entry = queue.m_waiting.lower_bound(first);
  while (entry != queue.m_waiting.end()) {
    const auto [key, id] = *entry++;
    const WaitingRequestRow& waiting = tables.m_waiting.Get(id);
    if (!key.m_late && !estimate.CanMeetTarget(waiting.m_target_at)) {
      MarkLate(tables, id);
    } else if (std::ranges::find(skipped, id) == skipped.end() &&
               estimate.CanRespondBy(waiting.m_deadline)) {
      return id;
    }
  }
  return {};
}

// Returns the class with requests in time that has been without a permit for
// longest, relative to its target; null if there is none.
const uint32_t* FindLongestUnserved(const PermitQueueRow& queue,
                                    TimePoint now) {
  const uint32_t* longest = nullptr;
  double longest_wait = -1;
  for (const auto& [priority, of_priority] : queue.m_classes) {
    const double wait =
        ToSeconds(now - of_priority.m_unserved_since) /
        ToSeconds(std::max<Duration>(kMinTarget, of_priority.m_target));
    if (of_priority.m_waiting_in_time > 0 && wait > longest_wait) {
      longest = &priority;
      longest_wait = wait;
    }
  }
  return longest;
}

}  // namespace

WaitingOrder::Next WaitingOrder::FindNext(
    PermitTables& tables,
    PermitQueueId queue_id,
    const std::vector<WaitingRequestId>& skipped,
    TimePoint now) {
  PermitQueueRow& queue = tables.m_queues.Get(queue_id);
  if (queue.m_fair_credit >= 1) {
    if (const uint32_t* priority = FindLongestUnserved(queue, now)) {
      const WaitingKey first{false, *priority, false, 0};
      const WaitingRequestId id = FindFrom(tables, queue, first, skipped, now);
      if (id.IsValid()) {
        const WaitingKey& key = tables.m_waiting.Get(id).m_key;
        if (!key.m_late && key.m_priority == first.m_priority) {
          return {id, true};
        }
      }
    }
  }
  return {FindFrom(tables, queue, {false, 0, false, 0}, skipped, now), false};
}

void WaitingOrder::OnGranted(PermitTables& tables,
                             const Next& next,
                             TimePoint now) {
  const WaitingRequestRow& waiting = tables.m_waiting.Get(next.m_id);
  PermitQueueRow& queue = tables.m_queues.Get(waiting.m_queue);
  queue.m_fair_credit =
      std::min(kMaxFairCredit,
               queue.m_fair_credit + tables.m_settings.m_fair_fraction) -
      (next.m_is_fair_turn ? 1 : 0);
  PriorityClass& of_priority = queue.m_classes[waiting.m_key.m_priority];
  of_priority.m_unserved_since = now;
  if (!waiting.m_key.m_late) {
    of_priority.m_granted_in_time.Add(now);
  }
}

}  // namespace foxtail
