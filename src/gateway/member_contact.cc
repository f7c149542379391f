#include "gateway/member_contact.h"

#include <algorithm>

namespace foxtail {

// A report may have waited in a buffer while either process was slow. The
// clocks of two hosts cannot be compared, but the fastest report shows their
// difference closely enough: what another report takes longer than that is
// delay.
void MemberContact::OnReport(BootTime sent_at,
                             uint32_t members,
                             const Now& now) {
  const Duration difference =
      now.m_boot.time_since_epoch() - sent_at.time_since_epoch();
  m_clock_difference =
      std::min(m_clock_difference.value_or(difference), difference);
  m_sent_at = now.m_steady - (difference - *m_clock_difference);
  m_arrived_at = now.m_steady;
  m_members = members;
}

double MemberContact::ShareOfRate(size_t registered) const {
  const size_t members = m_members > 0 ? m_members : registered;
  return 1 / static_cast<double>(std::max<size_t>(1, members));
}

Duration MemberContact::SilentTime(TimePoint since,
                                   TimePoint now,
                                   Duration silence_timeout) const {
  TimePoint silent_since = since;
  if (m_sent_at) {
    silent_since =
        std::max({since, *m_sent_at + silence_timeout, m_arrived_at});
  }
  return std::max(Duration(0), now - silent_since);
}

Duration MemberContact::UnreportedTime(TimePoint now,
                                       Duration silence_timeout) const {
  return m_sent_at ? std::clamp(now - *m_sent_at, Duration(0), silence_timeout)
                   : Duration(0);
}

}  // namespace foxtail
