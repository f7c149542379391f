#include "gateway/send_system.h"

#include <gtest/gtest.h>

#include "gateway/traffic_splitter.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint() + std::chrono::hours(1);

RoutedServer MakeServer(const std::string& id) {
  RoutedServer server;
  server.m_id = id;
  server.m_data_centre = "dc-0";
  server.m_slots = 2;
  return server;
}

void CompleteRequest(SendSystem& system,
                     SendServerId id,
                     uint32_t waiting,
                     Duration latency) {
  system.OnSent(id);
  system.OnCompleted(id, LoadReport{2, waiting, 2, 1}, true, latency, kNow);
}

// Guards against requests that keep filling a queue that is already long.
TEST(SendSystemTest, TheWindowShrinksWhileTheQueueIsLong) {
  AdaptiveWindow window;
  const double start = window.Size();
  for (int i = 0; i < 30; ++i) {
    window.OnLoadReport({2, 8, 2, 1});
  }
  EXPECT_LT(window.Size(), 0.5);
  for (int i = 0; i < 30; ++i) {
    window.OnLoadReport({1, 0, 2, 1});
  }
  EXPECT_GT(window.Size(), start);
}

TEST(SendSystemTest, TheRequestOfHighestPriorityIsSentFirst) {
  SendSystem system;
  const RoutedServer server = MakeServer("s");
  const SendServerId id = system.GetOrInsert(server, kNow);
  system.Enqueue(id, {2, 1});
  system.Enqueue(id, {0, 2});
  TimePoint retry_at;
  EXPECT_FALSE(system.CanSend(id, {2, 1}, kNow, retry_at));
  EXPECT_TRUE(system.CanSend(id, {0, 2}, kNow, retry_at));
  system.Dequeue(id, {0, 2});
  EXPECT_EQ(system.GetQueueHead(id), (QueueKey{2, 1}));
}

TEST(SendSystemTest, TheEstimateCountsRequestsAheadAndTheirLatency) {
  SendSystem system;
  const RoutedServer server = MakeServer("s");
  const SendServerId id = system.GetOrInsert(server, kNow);
  for (int i = 0; i < 60; ++i) {
    CompleteRequest(system, id, 8, milliseconds(400));
  }
  const Duration empty = system.EstimateTotalTime(id, 1, kNow);
  for (uint64_t ticket = 0; ticket < 10; ++ticket) {
    system.Enqueue(id, {1, ticket});
  }
  // The window has shrunk to one request: ten requests ahead take 400 ms each.
  EXPECT_GT(system.EstimateTotalTime(id, 1, kNow), seconds(4));
  // Requests of lower priority are not ahead.
  EXPECT_EQ(system.EstimateTotalTime(id, 0, kNow), empty);
}

TEST(SendSystemTest, TheLeastLoadedServerNearbyIsChosen) {
  SendSystem system;
  ServiceEndpoints endpoints;
  for (const char* name : {"a", "b", "c"}) {
    endpoints.m_servers.emplace(name, MakeServer(name));
  }
  endpoints.m_servers.at("a").m_data_centre = "dc-1";
  endpoints.m_servers.at("c").m_eligible = false;
  EXPECT_EQ(ChooseServer(endpoints, "dc-0", {}, system, kNow)->m_id, "b");
  const RoutedServer& near = endpoints.m_servers.at("b");
  const SendServerId id = system.GetOrInsert(near, kNow);
  for (int i = 0; i < 4; ++i) {
    system.OnSent(id);
  }
  EXPECT_EQ(ChooseServer(endpoints, "dc-0", {}, system, kNow)->m_id, "a");
  EXPECT_EQ(ChooseServer(endpoints, "dc-0", {"a"}, system, kNow)->m_id, "b");
  EXPECT_EQ(ChooseServer(endpoints, "dc-0", {"a", "b"}, system, kNow), nullptr);
}

TEST(TrafficSplitterTest, ProportionsAreExactOverFewRequests) {
  RouteRow route;
  route.m_name = "r";
  route.m_services = {{"a", 90}, {"b", 10}};
  TrafficSplitter splitter;
  std::map<std::string, int> counts;
  for (int i = 0; i < 20; ++i) {
    ++counts[splitter.Choose(route)];
  }
  EXPECT_EQ(counts["a"], 18);
  EXPECT_EQ(counts["b"], 2);
}

// An overloaded server that asks for a pause was asked again at once.
TEST(SendSystemTest, NothingIsSentDuringAPause) {
  SendSystem system;
  const RoutedServer server = MakeServer("s");
  const SendServerId id = system.GetOrInsert(server, kNow);
  system.OnPauseRequested(id, kNow + seconds(2));
  system.OnPauseRequested(id, kNow + seconds(1));
  system.Enqueue(id, {0, 1});
  TimePoint retry_at;
  EXPECT_FALSE(system.CanSend(id, {0, 1}, kNow, retry_at));
  EXPECT_EQ(retry_at, kNow + seconds(2));
  EXPECT_GE(system.EstimateTotalTime(id, 0, kNow), seconds(2));
  EXPECT_TRUE(system.CanSend(id, {0, 1}, kNow + seconds(2), retry_at));
}

TEST(SendSystemTest, APauseOutlastsTheRowsExpiry) {
  SendSystem system;
  const RoutedServer server = MakeServer("s");
  const SendServerId id = system.GetOrInsert(server, kNow);
  system.OnPauseRequested(id, kNow + seconds(30));
  system.Expire(kNow + seconds(25));
  EXPECT_EQ(system.PauseEnd(system.GetOrInsert(server, kNow + seconds(25))),
            kNow + seconds(30));
}

class PausedServersTest : public testing::Test {
 protected:
  PausedServersTest() {
    for (const char* id : {"a", "b"}) {
      m_endpoints.m_servers[id] = MakeServer(id);
    }
  }

  SendServerId Row(const char* id) {
    return m_system.GetOrInsert(m_endpoints.m_servers.at(id), kNow);
  }

  const RoutedServer* Choose() {
    return ChooseServer(m_endpoints, "dc-0", {}, m_system, kNow);
  }

  ServiceEndpoints m_endpoints;
  SendSystem m_system;
};

TEST_F(PausedServersTest, AnotherServerIsChosenDuringAPause) {
  m_system.OnPauseRequested(Row("a"), kNow + seconds(1));
  ASSERT_NE(Choose(), nullptr);
  EXPECT_EQ(Choose()->m_id, "b");
}

// All servers ask for a pause: the requests are refused until the first ends.
TEST_F(PausedServersTest, NoServerIsChosenWhileAllPause) {
  EXPECT_FALSE(FindPauseEnd(m_endpoints, m_system, kNow));
  m_system.OnPauseRequested(Row("a"), kNow + seconds(2));
  m_system.OnPauseRequested(Row("b"), kNow + seconds(1));
  EXPECT_EQ(Choose(), nullptr);
  EXPECT_EQ(FindPauseEnd(m_endpoints, m_system, kNow), kNow + seconds(1));
}

TEST_F(PausedServersTest, LeavingServerIsNotChosenUntilItStartsAgain) {
  RoutedServer& leaving = m_endpoints.m_servers.at("a");
  EXPECT_TRUE(m_system.OnLeaving(Row("a"), leaving, kNow));
  EXPECT_FALSE(m_system.OnLeaving(Row("a"), leaving, kNow + seconds(1)));
  m_system.Expire(kNow + seconds(60));
  EXPECT_EQ(m_system.LeavingSince(Row("a"), leaving), kNow);
  ASSERT_NE(Choose(), nullptr);
  EXPECT_EQ(Choose()->m_id, "b");
  m_endpoints.m_servers.erase("b");
  EXPECT_EQ(Choose(), nullptr);
  ++leaving.m_incarnation;
  EXPECT_NE(Choose(), nullptr);
}

}  // namespace
}  // namespace foxtail
