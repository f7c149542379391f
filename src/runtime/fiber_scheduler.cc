#include "runtime/fiber_scheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cassert>

namespace foxtail {
namespace {

// Room for the deepest call and a signal frame of wide registers.
constexpr size_t kStackSize = 64 * 1024;  // bytes

// Network events are polled about once per this many fiber switches, so fibers
// that are always ready cannot starve them.
constexpr unsigned kPicksPerPoll = 16;

// A fiber that is about to wait picks the next one itself, while it still holds
// the lock of what it waits for. A handler that notified it would wait for that
// lock for ever, so handlers run in the dispatcher's turns only.
bool IsDispatcherActive() {
  return boost::fibers::context::active()->is_context(
      boost::fibers::type::dispatcher_context);
}

thread_local boost::asio::io_context* thread_io = nullptr;

std::function<void(const std::exception&)>& FailureHandler() {
  static std::function<void(const std::exception&)> handler;
  return handler;
}

}  // namespace

FiberScheduler::FiberScheduler(std::shared_ptr<boost::asio::io_context> io)
    : m_io(std::move(io)) {}

void FiberScheduler::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(m_ready);
}

boost::fibers::context* FiberScheduler::pick_next() noexcept {
  if (++m_picks_since_poll >= kPicksPerPoll && IsDispatcherActive()) {
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
  // One handler at most: the others that are ready run in the next calls,
  // without another look at the descriptors in between.
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
  // The scheduler shares ownership and the thread's fibers end before it, so
  // the context outlives them. A leaked work guard keeps `run_one` blocking.
  auto io = std::make_shared<boost::asio::io_context>(1);
  static thread_local std::shared_ptr<boost::asio::io_context> keep;
  keep = io;
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
  // Stacks are kept for the next fibers of the thread.
  thread_local boost::fibers::pooled_fixedsize_stack stacks(kStackSize);
  boost::fibers::fiber(std::allocator_arg, stacks, [body = std::move(body)] {
    try {
      body();
    } catch (const std::exception& failure) {
      if (FailureHandler()) {
        FailureHandler()(failure);
      }
    }
  }).detach();
}

void SetFiberExceptionHandler(
    std::function<void(const std::exception&)> handler) {
  FailureHandler() = std::move(handler);
}

}  // namespace foxtail
