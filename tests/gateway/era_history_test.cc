#include <gtest/gtest.h>

#include "gateway/routing_snapshot.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the version of the configuration that a host routes by; 0 for none.
uint64_t RoutedVersion(const GatewayWorld& world, size_t host) {
  const auto snapshot = BuildSnapshot(world.m_hosts[host].m_tables);
  return snapshot->m_routes ? snapshot->m_routes->GetConfig().m_version : 0;
}

bool IsSentTo(const GatewayWorld& world, size_t host, size_t server) {
  const auto snapshot = BuildSnapshot(world.m_hosts[host].m_tables);
  const FakeServer& fake = world.m_servers[server];
  const ServiceEndpoints* endpoints = snapshot->FindEndpoints(fake.m_service);
  const auto found = endpoints
                         ? endpoints->m_servers.find(fake.m_id)
                         : std::map<std::string, RoutedServer>::iterator();
  return endpoints && found != endpoints->m_servers.end() &&
         found->second.m_eligible;
}

void Restart(GatewayWorld& world, size_t host) {
  world.Kill(host);
  world.Start(host);
}

/// How many hosts, the leader among them or not, end before the store comes
/// back and start afterwards, and how often the store comes back.
struct RestartCase {
  size_t m_hosts = 1;
  bool m_leader = false;
  int m_copies = 1;
};

class HostStartedInALaterEraTest : public testing::TestWithParam<RestartCase> {
};

// A host that started after the store had come back routed by the copy's
// configuration, and so admitted API keys that had been withdrawn, although
// another host had the later configuration in force.
TEST_P(HostStartedInALaterEraTest, UsesNoOlderConfiguration) {
  GatewayWorld world(4, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.Run(seconds(1));
  world.SetWorkspaceRate(100);
  world.Run(seconds(4));
  const size_t leader = world.Leader();
  ASSERT_LT(leader, world.m_hosts.size());
  std::vector<size_t> restarted;
  for (size_t host = 0; restarted.size() < GetParam().m_hosts; ++host) {
    if ((host == leader) == GetParam().m_leader || !restarted.empty()) {
      restarted.push_back(host);
      world.Kill(host);
    }
  }
  for (int i = 0; i < GetParam().m_copies; ++i) {
    world.RestoreCopy();
    world.Run(milliseconds(i * 50));
  }
  for (const size_t host : restarted) {
    world.Start(host);
  }
  const auto expect_no_older = [&] {
    for (size_t host = 0; host < world.m_hosts.size(); ++host) {
      const uint64_t version = RoutedVersion(world, host);
      EXPECT_TRUE(version == 0 || version == 2) << version;
    }
  };
  for (int i = 0; i < 200; ++i) {
    world.Run(milliseconds(10));
    expect_no_older();
  }
  world.WriteRowsAgain();
  for (int i = 0; i < 100; ++i) {
    world.Run(milliseconds(10));
    expect_no_older();
  }
  for (const size_t host : restarted) {
    EXPECT_EQ(RoutedVersion(world, host), 2U);
  }
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         HostStartedInALaterEraTest,
                         testing::Values(RestartCase{1, false, 1},
                                         RestartCase{1, true, 1},
                                         RestartCase{3, false, 1},
                                         RestartCase{3, true, 1},
                                         RestartCase{1, false, 2},
                                         RestartCase{3, true, 3}));

// The process that had the later configuration in force is replaced as well.
// What it knew must outlast it.
TEST(EraHistoryTest, KnownVersionOutlastsTheHostsThatHadItInForce) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.Run(seconds(1));
  world.SetWorkspaceRate(100);
  world.Run(seconds(4));
  world.RestoreCopy();
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    world.Run(milliseconds(500));
    Restart(world, host);
  }
  for (int i = 0; i < 200; ++i) {
    world.Run(milliseconds(10));
    for (size_t host = 0; host < world.m_hosts.size(); ++host) {
      EXPECT_NE(RoutedVersion(world, host), 1U);
    }
  }
  world.WriteRowsAgain();
  world.Run(seconds(1));
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    EXPECT_EQ(RoutedVersion(world, host), 2U);
  }
}

// A host that had missed the last change before the loss took its read of the
// copy for proof that its configuration was the newest.
TEST(EraHistoryTest, HostThatMissedTheLastChangeUsesNoOlderConfiguration) {
  GatewayWorld world(4, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  const size_t leader = world.Leader();
  const size_t cut = leader == 0 ? 1 : 0;
  world.m_hosts[cut].m_isolated = true;
  world.m_hosts[cut].m_store_unreachable = true;
  world.SetWorkspaceRate(100);
  world.Run(milliseconds(300));
  ASSERT_EQ(RoutedVersion(world, cut), 1U);
  world.RestoreCopy();
  world.m_hosts[cut].m_isolated = false;
  world.m_hosts[cut].m_store_unreachable = false;
  // The leader's next response tells.
  world.Run(seconds(1));
  EXPECT_EQ(RoutedVersion(world, leader), 2U);
  EXPECT_EQ(RoutedVersion(world, cut), 0U);
  world.WriteRowsAgain();
  world.Run(seconds(1));
  EXPECT_EQ(RoutedVersion(world, cut), 2U);
}

// The era stays above its first value for good. It must keep no host out of
// service if nobody is left to tell.
TEST(EraHistoryTest, HostsServeSoonAfterAllOthersAreGone) {
  GatewayWorld world(4, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.Run(seconds(1));
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    world.Kill(host);
  }
  world.RestoreCopy();
  world.Start(2);
  world.Start(3);
  world.Run(milliseconds(600));
  EXPECT_EQ(RoutedVersion(world, 2), 1U);
  EXPECT_EQ(RoutedVersion(world, 3), 1U);
}

// With members that respond, the wait is one exchange.
TEST(EraHistoryTest, HostThatStartsLongAfterTheChangeServesAtOnce) {
  GatewayWorld world(4, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.RestoreCopy();
  world.Run(seconds(1));
  world.WriteRowsAgain();
  world.Run(seconds(100));
  world.SetWorkspaceRate(100);
  world.Run(seconds(1));
  Restart(world, 2);
  world.Run(milliseconds(100));
  EXPECT_EQ(RoutedVersion(world, 2), 2U);
}

// If operators do not write their rows again, the copy's count in the end.
TEST(EraHistoryTest, ConfigurationOfTheCopyIsUsedWhenTheTimeIsOver) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.SetWorkspaceRate(100);
  world.Run(seconds(3));
  world.RestoreCopy();
  world.Run(seconds(1));
  Restart(world, 2);
  world.Run(seconds(50));
  EXPECT_EQ(RoutedVersion(world, 2), 0U);
  world.Run(seconds(12));
  EXPECT_EQ(RoutedVersion(world, 2), 1U);
}

// The copy shows servers as ready that had left or were draining.
TEST(EraHistoryTest, GoneAndDrainingServersGetNothing) {
  for (const seconds until_restored : {seconds(4), seconds(40)}) {
    GatewayWorld world(3, 6);
    world.m_servers[4].m_service = kUnshardedService;
    world.m_servers[5].m_service = kUnshardedService;
    world.RegisterServer(4);
    world.RegisterServer(5);
    world.Run(seconds(3));
    world.TakeCopy();
    world.DeregisterServer(4);
    world.m_servers[5].m_draining = true;
    world.RegisterServer(5);
    world.Run(until_restored);
    world.Kill(2);
    world.RestoreCopy();
    world.Start(2);
    for (int i = 0; i < 300; ++i) {
      world.Run(milliseconds(10));
      EXPECT_FALSE(IsSentTo(world, 2, 4)) << i;
      EXPECT_FALSE(IsSentTo(world, 2, 5)) << i;
    }
    ASSERT_EQ(RoutedVersion(world, 2), 1U);
    // A row that is written later counts.
    world.m_servers[5].m_draining = false;
    world.RegisterServer(4);
    world.RegisterServer(5);
    world.Run(seconds(1));
    EXPECT_TRUE(IsSentTo(world, 2, 4));
    EXPECT_TRUE(IsSentTo(world, 2, 5));
  }
}

// The copy lacks one evacuation and brings back another one that was lifted.
TEST(EraHistoryTest, EvacuationsStayAtAHostThatStarts) {
  GatewayWorld world(3, 6);
  world.SetEvacuated("dc-1", true);
  world.Run(seconds(3));
  world.TakeCopy();
  world.SetEvacuated("dc-1", false);
  world.SetEvacuated("dc-0", true);
  world.Run(seconds(3));
  world.Kill(2);
  world.RestoreCopy();
  world.Start(2);
  world.Run(seconds(1));
  const std::set<std::string>& evacuated =
      world.m_hosts[2].m_tables.m_evacuated;
  EXPECT_EQ(evacuated, std::set<std::string>{"dc-0"});
  // Rows that operators write count at once.
  world.SetEvacuated("dc-1", true);
  world.Run(milliseconds(500));
  EXPECT_EQ(evacuated, (std::set<std::string>{"dc-0", "dc-1"}));
}

// An evacuation that was written later in the era was taken for one of the copy
// by a host that had started meanwhile.
TEST(EraHistoryTest, LaterEvacuationCountsAtAHostThatStarts) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.RestoreCopy();
  world.Run(seconds(2));
  world.SetEvacuated("dc-0", true);
  world.Run(seconds(2));
  Restart(world, 2);
  world.Run(seconds(1));
  EXPECT_EQ(world.m_hosts[2].m_tables.m_evacuated,
            std::set<std::string>{"dc-0"});
}

}  // namespace
}  // namespace foxtail
