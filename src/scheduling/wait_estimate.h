#pragma once

#include <cstdint>

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Estimates how long requests of a queue wait, from the capacity of its
/// servers and the permits that more urgent requests have received lately.
/// Answers the load of a service whose servers have too little room: a request
/// that would wait in vain is told so at once.
class WaitEstimate {
 public:
  WaitEstimate(const PermitSchedulerSettings& settings,
               const PermitQueueRow& queue,
               TimePoint now)
      : m_settings(settings), m_queue(queue), m_now(now) {}

  /// Returns the wait of a request that can meet its target latency, with
  /// `ahead` requests of its priority before it.
  Duration InTime(uint32_t priority, uint32_t ahead) const;

  /// Returns the wait of a request that cannot, with `ahead` such requests
  /// before it.
  Duration Late(uint32_t ahead) const;

  /// Returns the wait of a request that arrives now, in milliseconds as hosts
  /// are told.
  std::chrono::milliseconds ForNewRequest(uint32_t priority) const;

  /// Returns whether a request that has just been added to the queue can be
  /// answered before its deadline.
  bool CanAnswerNewRequest(const WaitingRequestRow& waiting) const;

  /// Returns whether a late request that has waited can be answered before its
  /// deadline, with `ahead` late requests before it.
  bool CanAnswerLateRequest(const WaitingRequestRow& waiting,
                            uint32_t ahead) const;

  /// Returns whether a response can arrive by a time if the request is sent
  /// now.
  bool CanRespondBy(TimePoint time) const;

  /// The same with a margin for the variation of the servers' times, for
  /// targets.
  bool CanMeetTarget(TimePoint target_at) const;

 private:
  /// Returns the rate of permits that is left by others that go first, from
  /// their rate and from how many of them wait.
  double LeftOver(double rate, double waiting, double min_fraction) const;
  Duration UntilOpen() const;
  Duration ServiceTime() const;

  const PermitSchedulerSettings& m_settings;
  const PermitQueueRow& m_queue;
  TimePoint m_now;
};

}  // namespace foxtail
