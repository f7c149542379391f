#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>
#include <functional>
#include <memory>

#include "core/time.h"

namespace foxtail {

/// Fiber scheduling algorithm of one thread. While no fiber is ready the thread
/// blocks in its `io_context`, so it uses no processor time.
class FiberScheduler : public boost::fibers::algo::algorithm {
 public:
  explicit FiberScheduler(std::shared_ptr<boost::asio::io_context> io);

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override;
  void notify() noexcept override;

 private:
  std::shared_ptr<boost::asio::io_context> m_io;
  boost::fibers::scheduler::ready_queue_type m_ready;
  unsigned m_picks_since_poll = 0;
};

/// Installs a `FiberScheduler` in this thread and returns its `io_context`,
/// which outlives the thread's fibers. Must be called once per thread, before
/// the thread uses any fiber.
boost::asio::io_context& InstallFiberScheduler();

/// Returns the `io_context` of this thread. The scheduler must be installed.
boost::asio::io_context& ThreadIoContext();

/// Starts a detached fiber. An exception thrown by `body` is passed to the
/// handler set with `SetFiberExceptionHandler`.
void StartFiber(std::function<void()> body);

/// Sets the handler of uncaught exceptions of fibers, for all threads.
void SetFiberExceptionHandler(
    std::function<void(const std::exception&)> handler);

}  // namespace foxtail
