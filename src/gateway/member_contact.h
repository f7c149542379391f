#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace foxtail {

/// The leader's contact with one member: how old the member's last report is,
/// and so for how long the member may have used its shares of the rates without
/// the leader's knowledge. A member whose last report was sent longer than
/// `silence_timeout` ago counts as silent.
class MemberContact {
 public:
  /// Forgets all reports: a new leader has received none.
  void Reset() { *this = MemberContact(); }

  /// Forgets how the member's clock compares: another process reports.
  void OnProcessReplaced() { m_clock_difference.reset(); }

  /// Records a report that arrives `now`, was sent at `sent_at` by the member's
  /// boot clock, and divides the rates among `members` hosts.
  void OnReport(BootTime sent_at, uint32_t members, const Now& now);

  bool WasHeard() const { return m_sent_at.has_value(); }

  /// Returns the part of a rate that the member uses as its share, if
  /// `registered` members are registered here.
  double ShareOfRate(size_t registered) const;

  /// Returns for how long between `since` and `now` the member was silent. No
  /// report may have arrived in between.
  Duration SilentTime(TimePoint since,
                      TimePoint now,
                      Duration silence_timeout) const;

  /// Returns how long before `now` the last report was sent, at most
  /// `silence_timeout`; 0 if there was none.
  Duration UnreportedTime(TimePoint now, Duration silence_timeout) const;

 private:
  /// When the last report was sent, by this process's steady clock.
  std::optional<TimePoint> m_sent_at;
  TimePoint m_arrived_at;
  uint32_t m_members = 0;

  /// Smallest difference so far between the arrival of a report by this
  /// process's boot clock and its sending by the member's.
  std::optional<Duration> m_clock_difference;
};

}  // namespace foxtail
