#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <mutex>

#include "core/time.h"

namespace foxtail {

/// Lets fibers of one thread wait for a notification from that thread.
class FiberEvent {
 public:
  /// Wakes all waiting fibers.
  void Notify() {
    ++m_count;
    m_condition.notify_all();
  }

  /// Suspends the calling fiber until the next notification or until `until`.
  void WaitUntil(TimePoint until) {
    const uint64_t count_before = m_count;
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_condition.wait_until(lock, until,
                           [&] { return m_count != count_before; });
  }

 private:
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_condition;
  uint64_t m_count = 0;
};

}  // namespace foxtail
