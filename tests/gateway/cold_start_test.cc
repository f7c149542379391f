#include "gateway/cold_start_limit.h"

#include <gtest/gtest.h>

#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "server-1";

// The most requests in any second, without the rule's tolerance.
size_t MostInASecond() {
  return static_cast<size_t>(kColdRate +
                             BuildColdStartLimit(kServer, kColdRate).m_burst);
}

/// Many hosts whose clients all ask for a hot key of one cold server.
class ColdStartTest : public testing::TestWithParam<size_t> {
 protected:
  ColdStartTest() : m_world(GetParam(), 6) {
    m_world.Run(seconds(4));
    m_world.m_client_limit = BuildColdStartLimit(kServer, kColdRate);
  }

  void SendFromAllHosts() {
    for (size_t host = 0; host < m_world.m_hosts.size(); ++host) {
      m_world.SetClientRate(host, 5);
    }
  }

  GatewayWorld m_world;
};

// Each host sent its first request to a cold server without asking, so a server
// that 74 hosts turned to got up to 74 requests in a second.
TEST_P(ColdStartTest, HostsTogetherStayWithinTheRate) {
  SendFromAllHosts();
  m_world.Run(seconds(10));
  EXPECT_LE(m_world.m_requests.CountMostRunWithin(seconds(1)), MostInASecond());
  EXPECT_GE(m_world.m_requests.m_run_at.size(), 10 * kColdRate / 2);
}

// A restarted host began anew.
TEST_P(ColdStartTest, HostsThatStartAgainStayWithinTheRate) {
  SendFromAllHosts();
  m_world.Run(seconds(1));
  for (size_t host = 0; host < m_world.m_hosts.size(); host += 2) {
    m_world.Kill(host);
    m_world.Start(host);
  }
  SendFromAllHosts();
  m_world.Run(seconds(10));
  EXPECT_LE(m_world.m_requests.CountMostRunWithin(seconds(1)), MostInASecond());
}

TEST_P(ColdStartTest, HostsWithoutALeaderStayWithinTheRate) {
  SendFromAllHosts();
  m_world.Run(milliseconds(300));
  m_world.Kill(m_world.Leader());
  m_world.Run(seconds(10));
  EXPECT_LE(m_world.m_requests.CountMostRunWithin(seconds(1)), MostInASecond());
}

INSTANTIATE_TEST_SUITE_P(Hosts, ColdStartTest, testing::Values(10, 74));

}  // namespace
}  // namespace foxtail
