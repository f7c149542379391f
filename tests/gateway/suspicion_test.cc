#include <gtest/gtest.h>

#include "gateway/gateway_tick.h"
#include "gateway/range_grant_system.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "server-1";

/// A leader whose grant calls to one server time out.
class SuspicionTest : public testing::Test {
 protected:
  SuspicionTest() {
    ServerRow server;
    server.m_entry.m_id = kServer;
    m_tables.m_servers_by_id[kServer] = m_tables.m_servers.Insert(server);
    RangeRow range;
    range.m_owner = kServer;
    range.m_phase = RangePhase::kStable;
    m_range = m_tables.m_ranges.Insert(range);
    RunGatewayTick(m_tables, m_now);
  }

  // Runs the next tick so much later than it is due.
  void Tick(Duration delay) {
    m_now.m_steady = m_tables.m_next_tick_at + delay;
    RunGatewayTick(m_tables, m_now);
  }

  void TimeOut() {
    GrantCommand command;
    command.m_range = m_range;
    command.m_server = kServer;
    RangeGrantSystem::OnGranted(m_tables, command, ServerCallOutcome::kUnknown,
                                m_now);
  }

  uint32_t CountFailures() {
    return FindServer(m_tables, kServer)->m_consecutive_failures;
  }

  GatewayTables m_tables;
  RangeId m_range;
  Now m_now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
};

TEST_F(SuspicionTest, TimeoutsOfAPunctualLeaderCount) {
  Tick(milliseconds(10));
  TimeOut();
  EXPECT_EQ(CountFailures(), 1U);
}

// A leader that was late itself declared 384 healthy servers down in a second,
// and moved their keys.
TEST_F(SuspicionTest, TimeoutsOfALateLeaderAreNoEvidence) {
  Tick(milliseconds(400));
  TimeOut();
  EXPECT_EQ(CountFailures(), 0U);
  m_now.m_steady += seconds(1);
  TimeOut();
  EXPECT_EQ(CountFailures(), 1U);
}

// The server that got the address of a server rejected a call to it. If that
// server had started again elsewhere meanwhile, it counted as ended.
TEST_F(SuspicionTest, OutcomeOfACallToAnEarlierLifeEndsNoServer) {
  ServerRow* server = FindServer(m_tables, kServer);
  server->m_entry.m_incarnation = 2;
  GrantCommand command;
  command.m_range = m_range;
  command.m_server = kServer;
  command.m_incarnation = 1;
  RangeGrantSystem::OnGranted(m_tables, command, ServerCallOutcome::kReplaced,
                              m_now);
  EXPECT_FALSE(server->m_ended);
  command.m_incarnation = 2;
  RangeGrantSystem::OnGranted(m_tables, command, ServerCallOutcome::kReplaced,
                              m_now);
  EXPECT_TRUE(server->m_ended);
}

}  // namespace
}  // namespace foxtail
