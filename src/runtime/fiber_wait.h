#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace foxtail {

/// Lets the calling fiber wait for one Asio operation of its own thread. Asio
/// never runs the handler before the call that initiates the operation returns,
/// so the fiber is always suspended first.
class FiberWait {
 public:
  FiberWait() : m_waiter(boost::fibers::context::active()) {}

  /// Returns the completion handler to give to the operation.
  auto Handler() {
    return [this](const boost::system::error_code& error, auto... rest) {
      m_error = error;
      Store(rest...);
      m_done = true;
      boost::fibers::context::active()->schedule(m_waiter);
    };
  }

  /// Suspends the fiber until the operation is complete; returns its error.
  boost::system::error_code Wait() {
    while (!m_done) {
      m_waiter->suspend();
    }
    return m_error;
  }

  /// Bytes transferred, when the operation reports them.
  size_t GetBytes() const { return m_bytes; }

 private:
  void Store() {}
  void Store(size_t bytes) { m_bytes = bytes; }
  template <typename Other>
  void Store(const Other&) {}

  boost::fibers::context* m_waiter;
  boost::system::error_code m_error;
  size_t m_bytes = 0;
  bool m_done = false;
};

/// Calls `start(handler)`, which starts an Asio operation, and suspends the
/// calling fiber until the operation completes. Returns the operation's error.
template <typename Start>
boost::system::error_code AwaitOperation(Start start) {
  FiberWait wait;
  start(wait.Handler());
  return wait.Wait();
}

}  // namespace foxtail
