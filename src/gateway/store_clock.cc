#include "gateway/store_clock.h"

#include <algorithm>
#include <chrono>

namespace foxtail {
namespace {

// Differences older than one to two periods are forgotten, because clocks
// drift and the store's clock may begin anew.
constexpr std::chrono::seconds kPeriod{30};

}  // namespace

void StoreClock::Record(BootTime sent_at, Duration store_time) {
  if (sent_at - m_period_began_at > kPeriod) {
    m_offsets = {BootTime::min(), m_offsets[0]};
    m_period_began_at = sent_at;
  }
  m_offsets[0] = std::max(m_offsets[0], sent_at - store_time);
}

BootTime StoreClock::FindEarliest(Duration store_time) const {
  return std::max(m_offsets[0], m_offsets[1]) + store_time;
}

}  // namespace foxtail
