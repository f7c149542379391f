#include "gateway/gateway_traffic_thread.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <boost/fiber/operations.hpp>
#include <cstdlib>
#include <thread>

#include "core/error.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"
#include "support/cluster.h"
#include "support/fake_request_path.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kStopped = 0;
constexpr int kGivenUp = 3;

/// Keeps the thread that decodes a request for good.
class HangingFrontEnd : public FakeFrontEnd {
 public:
  ClientRequest Decode(const HttpRequest&) const override {
    m_hangs = true;
    while (true) {
      std::this_thread::sleep_for(seconds(1));
    }
  }

  mutable std::atomic<bool> m_hangs = false;
};

std::string LoopbackAddress() {
  return Address{"127.0.0.1", NextPort()}.ToString();
}

// Lets the traffic thread of a gateway hang, stops it and ends the process. The
// status tells whether the stop returned.
[[noreturn]] void StopAHangingThread() {
  alarm(20);  // in place of a stop that never returns
  GatewaySettings settings;
  settings.m_listen = LoopbackAddress();
  settings.m_ready = LoopbackAddress();
  settings.m_metrics = LoopbackAddress();
  settings.m_internal = LoopbackAddress();
  settings.m_store = LoopbackAddress();
  settings.m_data_centre = kDataCentre;
  settings.m_stop_timeout = milliseconds(300);
  HangingFrontEnd front_end;
  EventLog events("test", "");
  GatewayTrafficThread traffic(settings, front_end, events);
  const FakeDirectoryDecoder decoder;
  ControlThread control(settings, decoder, {}, traffic, events);
  traffic.Start(control);
  StartFiber([&] {
    HttpClient client;
    while (!front_end.m_hangs) {
      client.Exchange(ParseAddress(settings.m_listen), HttpRequest(),
                      Clock::now() + milliseconds(100));
    }
  });
  while (!front_end.m_hangs) {
    boost::this_fiber::sleep_for(milliseconds(10));
  }
  // More than the thread's mailbox holds.
  StartFiber([&traffic] {
    for (int i = 0; i < 1000; ++i) {
      traffic.OnSnapshot(BuildTestSnapshot());
    }
  });
  const TimePoint until = Clock::now() + seconds(6);
  while (Clock::now() < until) {
    traffic.CheckProgress();
    boost::this_fiber::sleep_for(StallDetectorSettings().m_check_interval);
  }
  std::quick_exit(traffic.Stop() ? kStopped : kGivenUp);
}

// A gateway whose traffic thread hung did not end on SIGTERM, and its log did
// not tell that the thread hung.
TEST(GatewayTrafficThreadDeathTest, AThreadThatHangsIsToldAndGivenUp) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(StopAHangingThread(), testing::ExitedWithCode(kGivenUp),
              "traffic_thread_stalled.*\n.*traffic_thread_stalled");
}

}  // namespace
}  // namespace foxtail
