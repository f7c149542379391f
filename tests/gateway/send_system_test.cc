#include "gateway/send_system.h"

#include <gtest/gtest.h>

#include "gateway/part_chooser.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint() + std::chrono::hours(1);

RoutedServer ServerNamed(const std::string& id) {
  RoutedServer server;
  server.m_id = id;
  server.m_data_centre = "dc-0";
  server.m_slots = 2;
  return server;
}

void Answer(SendSystem& system,
            SendServerId id,
            const RoutedServer& server,
            uint32_t waiting,
            Duration latency) {
  system.OnSent(id, server, Duration(0), kNow);
  system.OnEnded(id, LoadReport{2, waiting, 2, 1}, true, latency, kNow);
}

// Load pattern: a server whose queue is long.
TEST(SendSystemTest, TheWindowShrinksWhileTheQueueIsLong) {
  AdaptiveWindow window;
  const double start = window.Size();
  for (int i = 0; i < 30; ++i) {
    window.OnLoad({2, 8, 2, 1});
  }
  EXPECT_LT(window.Size(), 0.5);
  for (int i = 0; i < 30; ++i) {
    window.OnLoad({1, 0, 2, 1});
  }
  EXPECT_GT(window.Size(), start);
}

TEST(SendSystemTest, TheMostUrgentWaitingRequestGoesFirst) {
  SendSystem system;
  const RoutedServer server = ServerNamed("s");
  const SendServerId id = system.RowOf(server, kNow);
  system.StartWaiting(id, {2, 1});
  system.StartWaiting(id, {0, 2});
  TimePoint retry_at;
  EXPECT_FALSE(system.MaySend(id, server, {2, 1}, kNow, retry_at));
  EXPECT_TRUE(system.MaySend(id, server, {0, 2}, kNow, retry_at));
  system.StopWaiting(id, {0, 2});
  EXPECT_EQ(system.FirstWaiting(id), (WaitingOrder{2, 1}));
}

TEST(SendSystemTest, RequestsAheadAndSlowAnswersMakeTheEstimate) {
  SendSystem system;
  const RoutedServer server = ServerNamed("s");
  const SendServerId id = system.RowOf(server, kNow);
  for (int i = 0; i < 60; ++i) {
    Answer(system, id, server, 8, milliseconds(400));
  }
  const Duration empty = system.EstimatedTime(id, server, 1, kNow);
  for (uint64_t ticket = 0; ticket < 10; ++ticket) {
    system.StartWaiting(id, {1, ticket});
  }
  // A window of one, ten requests ahead, 400 ms each.
  EXPECT_GT(system.EstimatedTime(id, server, 1, kNow), seconds(4));
  // Less urgent requests are not ahead.
  EXPECT_EQ(system.EstimatedTime(id, server, 0, kNow), empty);
}

// All hosts together stay within a cold server's rate.
TEST(SendSystemTest, AColdServerGetsOneRequestAPause) {
  SendSystem system;
  RoutedServer server = ServerNamed("s");
  server.m_cold_until = kNow + seconds(3);
  const SendServerId id = system.RowOf(server, kNow);
  const Duration pause = ColdPause(5, 10);
  EXPECT_EQ(pause, seconds(2));
  system.OnSent(id, server, pause, kNow);
  system.StartWaiting(id, {0, 1});
  TimePoint retry_at;
  EXPECT_FALSE(system.MaySend(id, server, {0, 1}, kNow + seconds(1), retry_at));
  EXPECT_EQ(retry_at, kNow + seconds(2));
  EXPECT_TRUE(system.MaySend(id, server, {0, 1}, kNow + seconds(2), retry_at));
  EXPECT_TRUE(system.MaySend(id, server, {0, 1}, kNow + seconds(4), retry_at));
}

TEST(SendSystemTest, TheLeastLoadedServerNearbyIsChosen) {
  SendSystem system;
  RoutedPlaces places;
  for (const char* name : {"a", "b", "c"}) {
    places.m_servers.emplace(name, ServerNamed(name));
  }
  places.m_servers.at("a").m_data_centre = "dc-1";
  places.m_servers.at("c").m_eligible = false;
  EXPECT_EQ(ChooseServer(places, "dc-0", {}, system, kNow)->m_id, "b");
  const RoutedServer& near = places.m_servers.at("b");
  const SendServerId id = system.RowOf(near, kNow);
  for (int i = 0; i < 4; ++i) {
    system.OnSent(id, near, Duration(0), kNow);
  }
  EXPECT_EQ(ChooseServer(places, "dc-0", {}, system, kNow)->m_id, "a");
  EXPECT_EQ(ChooseServer(places, "dc-0", {"a"}, system, kNow)->m_id, "b");
  EXPECT_EQ(ChooseServer(places, "dc-0", {"a", "b"}, system, kNow), nullptr);
}

TEST(PartChooserTest, SharesAreExactOverFewRequests) {
  RouteRow route;
  route.m_name = "r";
  route.m_services = {{"a", 90}, {"b", 10}};
  PartChooser chooser;
  std::map<std::string, int> counts;
  for (int i = 0; i < 20; ++i) {
    ++counts[chooser.Choose(route)];
  }
  EXPECT_EQ(counts["a"], 18);
  EXPECT_EQ(counts["b"], 2);
}

}  // namespace
}  // namespace foxtail
