#include "scheduling/wait_estimate.h"

#include <algorithm>

namespace foxtail {
namespace {

// Requests of one kind differ in their time. A deadline is missed for certain
// only if even a short one misses it; a target is met only if a long one meets
// it.
constexpr double kShortRequest = 0.8;
constexpr double kLongRequest = 1.2;

// Late requests are assumed to get at least this fraction of the capacity: the
// measured use by others varies.
constexpr double kMinLateFraction = 0.05;

// Requests that go first are assumed to leave up to this fraction of the
// capacity, whatever their rate was, if none of them waits; less if their
// backlog takes time, and the minimum if it takes this time or longer. A rate
// measured over seconds says little about a load that varies.
constexpr double kMaxAssumedFraction = 0.5;
constexpr double kFullBacklogSeconds = 0.5;

// A request that waits already is refused only if the estimate is clearly
// above the time it has left, because the estimate varies.
constexpr double kRefuseLaterFactor = 1.25;

}  // namespace

Duration WaitEstimate::UntilOpen() const {
  return std::max(Duration(), m_queue.m_open_at - m_now);
}

Duration WaitEstimate::ServiceTime() const {
  return FromSeconds(m_queue.m_service_seconds);
}

double WaitEstimate::LeftOver(double rate,
                              double waiting,
                              double min_fraction) const {
  const double capacity = m_queue.m_capacity;
  const double backlog = waiting / capacity / kFullBacklogSeconds;
  const double assumed =
      std::max(min_fraction, kMaxAssumedFraction * (1 - backlog));
  return std::max(capacity - rate, capacity * assumed);
}

Duration WaitEstimate::InTime(uint32_t priority, uint32_t ahead) const {
  const double capacity = m_queue.m_capacity;
  if (capacity <= 0) {
    return UntilOpen();
  }
  double urgent_rate = 0;
  double urgent_waiting = 0;
  for (const auto& [other, of_priority] : m_queue.m_classes) {
    if (other < priority) {
      urgent_rate += of_priority.m_granted_in_time.Get(m_now);
      urgent_waiting += of_priority.m_waiting_in_time;
    }
  }
  const double classes = std::max<double>(1, m_queue.m_classes.size());
  const double rate = LeftOver(urgent_rate, urgent_waiting,
                               m_settings.m_fair_fraction / classes);
  return UntilOpen() +
         FromSeconds(urgent_waiting / capacity + (ahead + 1.0) / rate);
}

Duration WaitEstimate::Late(uint32_t ahead) const {
  const double capacity = m_queue.m_capacity;
  if (capacity <= 0) {
    return UntilOpen();
  }
  double in_time_rate = 0;
  double in_time_waiting = 0;
  for (const auto& [priority, of_priority] : m_queue.m_classes) {
    in_time_rate += of_priority.m_granted_in_time.Get(m_now);
    in_time_waiting += of_priority.m_waiting_in_time;
  }
  const double rate = LeftOver(in_time_rate, in_time_waiting, kMinLateFraction);
  return UntilOpen() + FromSeconds((ahead + 1.0) / rate);
}

std::chrono::milliseconds WaitEstimate::ForNewRequest(uint32_t priority) const {
  const auto found = m_queue.m_classes.find(priority);
  return std::chrono::duration_cast<std::chrono::milliseconds>(InTime(
      priority,
      found == m_queue.m_classes.end() ? 0 : found->second.m_waiting_in_time));
}

bool WaitEstimate::CanRespondBy(TimePoint time) const {
  return m_now + FromSeconds(m_queue.m_service_seconds * kShortRequest) < time;
}

bool WaitEstimate::CanMeetTarget(TimePoint target_at) const {
  return m_now + FromSeconds(m_queue.m_service_seconds * kLongRequest) <=
         target_at;
}

bool WaitEstimate::CanAnswerNewRequest(const WaitingRequestRow& waiting) const {
  if (!CanRespondBy(waiting.m_deadline)) {
    return false;
  }
  // The request itself is counted among the waiting ones.
  uint32_t ahead = 0;
  uint32_t late_ahead = 0;
  double in_time_waiting = 0;
  for (const auto& [priority, of_priority] : m_queue.m_classes) {
    late_ahead += of_priority.m_waiting_late;
    in_time_waiting += of_priority.m_waiting_in_time;
    if (priority == waiting.m_key.m_priority) {
      ahead = of_priority.m_waiting_in_time;
    }
  }
  uint32_t& own = waiting.m_key.m_late ? late_ahead : ahead;
  own -= own > 0 ? 1 : 0;
  Duration until_late{};
  if (!waiting.m_key.m_late) {
    if (m_now + InTime(waiting.m_key.m_priority, ahead) + ServiceTime() <=
        waiting.m_target_at) {
      return true;
    }
    until_late = waiting.m_target_at - ServiceTime() - m_now;
    // Others that wait now will be late as well by then.
    const double unserved =
        in_time_waiting - 1 - m_queue.m_capacity * ToSeconds(until_late);
    late_ahead += static_cast<uint32_t>(std::max(0.0, unserved));
  }
  return m_now + until_late + Late(late_ahead) + ServiceTime() <=
         waiting.m_deadline;
}

bool WaitEstimate::CanAnswerLateRequest(const WaitingRequestRow& waiting,
                                        uint32_t ahead) const {
  return Late(ahead) + ServiceTime() <=
         kRefuseLaterFactor * (waiting.m_deadline - m_now);
}

}  // namespace foxtail
