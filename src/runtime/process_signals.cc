#include "runtime/process_signals.h"

#include <signal.h>

#include <array>
#include <boost/asio/signal_set.hpp>

#include "runtime/fiber_event.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

constexpr std::array kHandledSignals = {SIGINT, SIGTERM, SIGHUP};

void ChangeSignalMask(int how) {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : kHandledSignals) {
    sigaddset(&mask, number);
  }
  pthread_sigmask(how, &mask, nullptr);
}

/// Handles the signals of the process, one after the other.
class SignalHandler {
 public:
  explicit SignalHandler(std::function<void()> on_reload)
      : m_signals(ThreadIoContext()), m_on_reload(std::move(on_reload)) {
    for (const int number : kHandledSignals) {
      m_signals.add(number);
    }
    HandleNext();
  }

  void AwaitStop() {
    while (!m_stop_received) {
      m_stop_event.WaitUntil(TimePoint::max());
    }
  }

 private:
  void HandleNext() {
    m_signals.async_wait(
        [this](const boost::system::error_code& failure, int number) {
          if (failure) {
            return;  // the thread's context ends
          }
          if (number == SIGHUP) {
            m_on_reload();
          } else {
            m_stop_received = true;
            m_stop_event.Notify();
          }
          HandleNext();
        });
  }

  boost::asio::signal_set m_signals;
  std::function<void()> m_on_reload;
  FiberEvent m_stop_event;
  bool m_stop_received = false;
};

}  // namespace

void DeferStopSignals() {
  // A reader of the log that ends must not end the process.
  signal(SIGPIPE, SIG_IGN);
  ChangeSignalMask(SIG_BLOCK);
}

void WaitForStopSignal(std::function<void()> on_reload) {
  // Never destroyed: a destroyed signal set restores the default actions, and
  // the next signal would end the process while it still answers requests.
  static auto* const handler = new SignalHandler(std::move(on_reload));
  ChangeSignalMask(SIG_UNBLOCK);
  handler->AwaitStop();
}

}  // namespace foxtail
