#include "runtime/fiber_scheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/context/detail/exception.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cassert>
#include <stdexcept>

#include "runtime/returning_stacks.h"

namespace foxtail {
namespace {

// A stack holds the deepest call chain and a signal frame, which the wide
// vector registers enlarge.
constexpr size_t kStackSize = 64 * 1024;  // bytes

// Network events are polled about once per this many fiber switches, so that
// fibers that are always ready cannot starve the handlers of these events.
constexpr unsigned kPicksPerPoll = 16;

// A fiber that is about to wait calls `pick_next` itself, while it still holds
// the internal lock of the object that it waits for. An Asio handler that ran
// at this point and notified that object would block on the lock forever, so
// handlers run only while Boost.Fiber's dispatcher context is active.
bool IsDispatcherContextActive() {
  return boost::fibers::context::active()->is_context(
      boost::fibers::type::dispatcher_context);
}

thread_local boost::asio::io_context* thread_io = nullptr;

std::function<void(const std::exception&)>& FailureHandler() {
  static std::function<void(const std::exception&)> handler;
  return handler;
}

void ReportFailure(const std::exception& failure) {
  if (FailureHandler()) {
    FailureHandler()(failure);
  }
}

}  // namespace

FiberScheduler::FiberScheduler(std::shared_ptr<boost::asio::io_context> io)
    : m_io(std::move(io)) {}

void FiberScheduler::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(m_ready);
}

boost::fibers::context* FiberScheduler::pick_next() noexcept {
  if (++m_picks_since_poll >= kPicksPerPoll && IsDispatcherContextActive()) {
    m_picks_since_poll = 0;
    m_io->poll();
  }
  if (m_ready.empty()) {
    return nullptr;
  }
  boost::fibers::context* next = &m_ready.front();
  m_ready.pop_front();
  return next;
}

bool FiberScheduler::has_ready_fibers() const noexcept {
  return !m_ready.empty();
}

void FiberScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& until) noexcept {
  m_picks_since_poll = 0;
  // Runs one handler at most. Other ready handlers run in the next calls,
  // without polling the descriptors again in between.
  if (until == std::chrono::steady_clock::time_point::max()) {
    m_io->run_one();
  } else {
    m_io->run_one_until(until);
  }
}

void FiberScheduler::notify() noexcept {
  boost::asio::post(*m_io, [] {});
}

boost::asio::io_context& InstallFiberScheduler() {
  assert(thread_io == nullptr);
  // The scheduler shares ownership of the context, and the thread's fibers end
  // before the scheduler, so the context outlives them. The work that is
  // started here and never finished keeps `run_one` blocking while no operation
  // is pending.
  auto io = std::make_shared<boost::asio::io_context>(1);
  static thread_local std::shared_ptr<boost::asio::io_context> owner;
  owner = io;
  io->get_executor().on_work_started();
  thread_io = io.get();
  boost::fibers::use_scheduling_algorithm<FiberScheduler>(io);
  return *io;
}

boost::asio::io_context& ThreadIoContext() {
  assert(thread_io != nullptr);
  return *thread_io;
}

void StartFiber(std::function<void()> body) {
  thread_local ReturningStacks stacks(kStackSize);
  boost::fibers::fiber(std::allocator_arg, stacks, [body = std::move(body)] {
    try {
      body();
    } catch (const std::exception& failure) {
      ReportFailure(failure);
    } catch (const boost::context::detail::forced_unwind&) {
      throw;  // unwinds the stack of a fiber that never ends
    } catch (...) {
      ReportFailure(std::runtime_error("exception of unknown type"));
    }
  }).detach();
}

void SetFiberExceptionHandler(
    std::function<void(const std::exception&)> handler) {
  FailureHandler() = std::move(handler);
}

}  // namespace foxtail
