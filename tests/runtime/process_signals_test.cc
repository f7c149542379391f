#include "runtime/process_signals.h"

#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>
#include <csignal>
#include <cstdlib>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Exits with the number of reloads, unless a signal ends the process.
[[noreturn]] void StopAmidSignals() {
  DeferStopSignals();
  for (const int signal : {SIGPIPE, SIGHUP, SIGTERM}) {
    std::raise(signal);
  }
  int reloads = 0;
  WaitForStopSignal([&reloads] { ++reloads; });
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGPIPE, SIGHUP}) {
    std::raise(signal);
    boost::this_fiber::sleep_for(milliseconds(10));
  }
  std::_Exit(reloads);
}

// SIGTERM before the process handled signals, SIGPIPE at any time, and any
// signal during the stop ended the process.
TEST(ProcessSignalsDeathTest, NoSignalFromTheStartToTheExitEndsTheProcess) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(StopAmidSignals(), testing::ExitedWithCode(3), "");
}

}  // namespace
}  // namespace foxtail
