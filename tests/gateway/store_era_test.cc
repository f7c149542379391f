#include <gtest/gtest.h>

#include "gateway/routing_snapshot.h"
#include "store/store_version.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void ExpectSafe(const GatewayWorld& world) {
  EXPECT_EQ(world.m_low_fences, 0U);
  EXPECT_EQ(world.m_double_grants, 0U);
  EXPECT_EQ(world.m_overlapping_grants, 0U);
  EXPECT_EQ(world.m_double_leaders, 0U);
  EXPECT_EQ(world.m_older_configurations, 0U);
}

// A version of the new era has a lower number and would count as older.
TEST(StoreVersionTest, NewerErasComeFirst) {
  EXPECT_GT(MakeStoreVersion(1, 5), MakeStoreVersion(0, 1000000));
  EXPECT_GT(MakeStoreVersion(2, 0), MakeStoreVersion(1, 1000000));
  EXPECT_EQ(MakeStoreVersion(0, 7), 7U);
  EXPECT_EQ(EraOfVersion(MakeStoreVersion(3, 7)), 3U);
  EXPECT_EQ(NumberOfVersion(MakeStoreVersion(3, 7)), 7U);
}

// A write whose version was reused succeeds in the store.
TEST(StoreVersionTest, WriteOfAnotherEraIsNotTrusted) {
  const RowWrite write{"table", "key", MakeStoreVersion(1, 7), "value"};
  EXPECT_EQ(CheckEra(write, WriteResult{StoreOutcome::kDone, 8, 2}).m_outcome,
            StoreOutcome::kUnknown);
  EXPECT_EQ(CheckEra(write, WriteResult{StoreOutcome::kDone, 8, 1}).m_outcome,
            StoreOutcome::kDone);
}

// A watch that was open when the store came back would skip the changes that
// have reused versions.
TEST(StoreVersionTest, WatchOfAnotherEraHasLostItsHistory) {
  const RowsResult result{StoreOutcome::kDone, {}, MakeStoreVersion(2, 9), 2};
  EXPECT_EQ(CheckEra(MakeStoreVersion(1, 7), result).m_outcome,
            StoreOutcome::kHistoryLost);
  EXPECT_EQ(CheckEra(MakeStoreVersion(2, 7), result).m_outcome,
            StoreOutcome::kDone);
}

// A row of one era must not take the place of another's.
TEST(EraKeyTest, KeysOfErasDiffer) {
  EXPECT_EQ(EncodeEraKey({0, "lead"}), "lead");
  const EraKey key = DecodeEraKey(EncodeEraKey({12, "owners/shop"}));
  EXPECT_EQ(key.m_era, 12U);
  EXPECT_EQ(key.m_key, "owners/shop");
  EXPECT_EQ(DecodeEraKey("era-x/owners/shop").m_key, "era-x/owners/shop");
}

// Without the era in the epoch, the copy's epoch would be given once more.
TEST(StoreEraTest, KeysStayOwnedUnderHigherTokens) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.SetEvacuated("dc-0", true);
  world.Run(seconds(4));
  const size_t leader = world.Leader();
  world.RestoreCopy();
  for (int i = 0; i < 60; ++i) {
    world.Run(milliseconds(100));
    EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys) << i;
    if (i == 10) {
      world.WriteRowsAgain();
    }
  }
  EXPECT_EQ(world.Leader(), leader);
  EXPECT_EQ(world.CountRoutingHosts(0), world.m_hosts.size());
  ExpectSafe(world);
}

// A store that says an era and keeps it must cost no call more.
TEST(StoreEraTest, ConstantEraTakesNoFurtherCalls) {
  GatewayWorld plain(5, 6);
  GatewayWorld with_era(5, 6);
  with_era.TakeCopy();
  with_era.RestoreCopy();
  for (GatewayWorld* world : {&plain, &with_era}) {
    world->Run(seconds(3));
    world->SetEvacuated("dc-0", true);
    world->Run(seconds(3));
    world->Kill(world->Leader());
    world->Run(seconds(5));
    EXPECT_EQ(world->CountGrantedKeys(), kSampledKeys);
  }
  EXPECT_EQ(with_era.m_row_calls, plain.m_row_calls);
  EXPECT_EQ(with_era.m_watch_reads, plain.m_watch_reads);
}

// The copy's configuration replaced the one in force.
TEST(StoreEraTest, ConfigurationNeverGoesBack) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.SetWorkspaceRate(100);
  world.Run(seconds(2));
  world.RestoreCopy();
  world.Run(seconds(3));
  for (const FakeHost& host : world.m_hosts) {
    EXPECT_EQ(host.m_tables.m_routes->GetConfig().m_version, 2U);
  }
  ExpectSafe(world);
}

// Hosts would divide the rates among fewer members than there are.
TEST(StoreEraTest, MembersAreKnownThroughACopyWithoutThem) {
  GatewayWorld world(5, 6);
  world.TakeCopy();
  world.Run(seconds(3));
  world.RestoreCopy();
  for (int i = 0; i < 100; ++i) {
    world.Run(milliseconds(100));
    for (const FakeHost& host : world.m_hosts) {
      EXPECT_EQ(FindPosition(host.m_tables).m_members, 5U) << i;
    }
  }
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  ExpectSafe(world);
}

// The copy brought back the registrations of servers that had ended, and the
// leader gave them keys.
TEST(StoreEraTest, GoneServersStayOutOfUse) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.DeregisterServer(0);
  world.m_servers[1].m_draining = true;
  world.RegisterServer(1);
  world.Run(seconds(4));
  world.RestoreCopy();
  for (int i = 0; i < 100; ++i) {
    world.Run(milliseconds(100));
    EXPECT_EQ(world.CountGrantedKeysOf(0), 0U) << i;
    EXPECT_EQ(world.CountGrantedKeysOf(1), 0U) << i;
  }
  world.m_servers[1].m_draining = false;
  world.RegisterServer(0);
  world.RegisterServer(1);
  world.Run(seconds(4));
  EXPECT_GT(world.CountGrantedKeysOf(0), 0U);
  EXPECT_GT(world.CountGrantedKeysOf(1), 0U);
  ExpectSafe(world);
}

// A server that has been gone for so long that its row was removed here.
TEST(StoreEraTest, ServerOfAnOldCopyStaysOutOfUse) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.DeregisterServer(0);
  world.Run(seconds(40));
  world.RestoreCopy();
  world.Run(seconds(10));
  EXPECT_EQ(world.CountGrantedKeysOf(0), 0U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
}

// Incarnations of a server whose clock has stepped back do not grow, so the
// copy's is higher than the one in force.
TEST(StoreEraTest, ReplacedIncarnationOfTheCopyStaysOut) {
  for (const seconds until_restored : {seconds(4), seconds(40)}) {
    GatewayWorld world(3, 6);
    world.m_servers[0].m_incarnation = 9;
    world.RegisterServer(0);
    world.Run(seconds(3));
    world.TakeCopy();
    world.m_servers[0].m_incarnation = 5;
    world.RegisterServer(0);
    world.Run(seconds(4));
    EXPECT_GT(world.CountGrantedKeysOf(0), 0U);
    world.DeregisterServer(0);
    world.Run(until_restored);
    world.RestoreCopy();
    world.Run(seconds(20));
    EXPECT_EQ(world.CountGrantedKeysOf(0), 0U);
    world.RegisterServer(0);
    world.Run(seconds(6));
    EXPECT_GT(world.CountGrantedKeysOf(0), 0U);
    for (FakeHost& host : world.m_hosts) {
      EXPECT_EQ(FindServer(host.m_tables, world.m_servers[0].m_id)
                    ->m_entry.m_incarnation,
                5);
    }
  }
}

// The copy shows a registration that is held. It must not count as one of the
// past, nor be used before the hold time is over.
TEST(StoreEraTest, HeldRegistrationStaysHeld) {
  GatewayWorld world(3, 6);
  world.m_servers[0].m_incarnation = 9;
  world.RegisterServer(0);
  world.Run(seconds(3));
  world.m_servers[0].m_incarnation = 5;
  world.RegisterServer(0);
  world.Run(milliseconds(500));
  world.TakeCopy();
  world.Run(milliseconds(500));
  world.RestoreCopy();
  const auto expect_incarnation = [&world](int64_t incarnation) {
    for (FakeHost& host : world.m_hosts) {
      const ServerRow* server =
          FindServer(host.m_tables, world.m_servers[0].m_id);
      EXPECT_EQ(server->m_entry.m_incarnation, incarnation);
      EXPECT_TRUE(server->m_registered);
    }
  };
  world.Run(seconds(1));
  expect_incarnation(9);
  world.Run(seconds(1));
  expect_incarnation(5);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
}

// Servers that registered after the copy keep their keys if they register
// within the grace period of an outage.
TEST(StoreEraTest, RegistrationMissingInTheCopyHasTheGraceOfAnOutage) {
  GatewayWorld world(3, 6);
  world.m_servers[0].m_up = false;
  world.DeregisterServer(0);
  world.Run(seconds(3));
  world.TakeCopy();
  world.m_servers[0].m_up = true;
  world.RegisterServer(0);
  world.Run(seconds(3));
  const size_t before = world.CountGrantedKeysOf(0);
  ASSERT_GT(before, 0U);
  world.RestoreCopy();
  world.Run(seconds(2));
  EXPECT_EQ(world.CountGrantedKeysOf(0), before);
  world.WriteRowsAgain();
  world.Run(seconds(3));
  EXPECT_EQ(world.CountGrantedKeysOf(0), before);
}

// The copy lacks one evacuation and brings back another one that was lifted.
TEST(StoreEraTest, EvacuationsStayUntilWrittenAgainOrTheTimeIsOver) {
  GatewayWorld world(3, 6);
  world.SetEvacuated("dc-1", true);
  world.Run(seconds(3));
  world.TakeCopy();
  world.SetEvacuated("dc-1", false);
  world.SetEvacuated("dc-0", true);
  world.Run(seconds(3));
  world.RestoreCopy();
  world.Run(seconds(59));
  for (const FakeHost& host : world.m_hosts) {
    EXPECT_EQ(host.m_tables.m_evacuated, std::set<std::string>{"dc-0"});
  }
  world.SetEvacuated("dc-0", false);
  world.Run(milliseconds(500));
  for (const FakeHost& host : world.m_hosts) {
    EXPECT_TRUE(host.m_tables.m_evacuated.empty());
  }
  world.Run(seconds(2));
  for (const FakeHost& host : world.m_hosts) {
    EXPECT_EQ(host.m_tables.m_evacuated, std::set<std::string>{"dc-1"});
  }
  ExpectSafe(world);
}

// All hosts are lost with what they know, and the copy holds an earlier
// leader's epoch. Tokens of that epoch's successors were given out once more.
TEST(StoreEraTest, TokensAreHigherAfterTheLossOfAllHosts) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  for (int i = 0; i < 2; ++i) {
    world.Kill(world.Leader());
    world.Run(seconds(4));
  }
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    world.Kill(host);
  }
  world.RestoreCopy();
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    world.Start(host);
  }
  world.Run(seconds(20));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  ExpectSafe(world);
}

/// The leader ends some time, in milliseconds, after the store came back.
class LeaderLossTest : public testing::TestWithParam<int> {};

// Moves since the copy are lost with the leader. The next one granted the keys
// to their earlier owners while the later ones held them.
TEST_P(LeaderLossTest, NextLeaderWaitsForGrantsThatItCannotKnow) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.SetEvacuated("dc-0", true);
  world.Run(seconds(3));
  world.RestoreCopy();
  world.Run(milliseconds(GetParam()));
  const size_t leader = world.Leader();
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    if (host == leader || leader == world.m_hosts.size()) {
      world.Kill(host);
      world.Start(host);
    }
  }
  world.Run(seconds(20));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  ExpectSafe(world);
}

INSTANTIATE_TEST_SUITE_P(Times,
                         LeaderLossTest,
                         testing::Values(0, 10, 20, 30, 50, 100, 1000));

// The second copy is older than the first one's era, so its versions are given
// out a third time.
TEST(StoreEraTest, TwoErasOneAfterTheOther) {
  for (const milliseconds between :
       {milliseconds(10), milliseconds(50), milliseconds(3000)}) {
    GatewayWorld world(5, 6);
    world.Run(seconds(3));
    world.TakeCopy();
    world.SetEvacuated("dc-0", true);
    world.Run(seconds(3));
    world.RestoreCopy();
    world.Run(between);
    world.RestoreCopy();
    world.Run(seconds(3));
    EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys) << between.count();
    ExpectSafe(world);
  }
}

// A leader that was cut off when the store came back had led on by the rows of
// the era before.
TEST(StoreEraTest, LeaderOfAnOlderEraDoesNotAct) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  const size_t leader = world.Leader();
  world.m_hosts[leader].m_store_unreachable = true;
  world.Run(milliseconds(200));
  world.RestoreCopy();
  world.Run(seconds(8));
  EXPECT_NE(world.Leader(), leader);
  world.m_hosts[leader].m_store_unreachable = false;
  world.Run(seconds(12));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  ExpectSafe(world);
}

// Rows of past eras would grow with each era.
TEST(StoreEraTest, RowsOfOlderErasAreRemoved) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.TakeCopy();
  world.RestoreCopy();
  world.Run(seconds(2));
  const GatewayTables& tables = world.m_hosts[world.Leader()].m_tables;
  EXPECT_FALSE(tables.m_store_era.m_older_rows.empty());
  world.Run(seconds(40));
  EXPECT_TRUE(tables.m_store_era.m_older_rows.empty());
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
}

/// Eras, changes of leader and late calls at random.
class EraChaosTest : public testing::TestWithParam<uint32_t> {};

TEST_P(EraChaosTest, NoKeyHasTwoOwnersOrALowerToken) {
  std::minstd_rand random(GetParam());
  const auto below = [&random](size_t limit) { return random() % limit; };
  GatewayWorld world(5, 8, GetParam());
  world.m_lost_response_rate = 0.1;
  world.m_lost_datagram_rate = 0.05;
  world.m_late_write_rate = 0.05;
  world.m_late_release_rate = 0.3;
  world.m_clock_drift = 0.02;
  world.Run(seconds(3));
  world.TakeCopy();
  world.m_late_grant_rate = 0.3;
  for (int i = 0; i < 60; ++i) {
    const size_t host = below(5);
    const size_t server = below(8);
    const size_t leader = world.Leader();
    switch (below(11)) {
      case 0:
      case 1:
        world.RestoreCopy();
        break;
      case 2:
        world.TakeCopy();
        break;
      case 3:
        if (leader < world.m_hosts.size()) {
          world.Kill(leader);
        }
        break;
      case 4:
        if (!world.m_hosts[host].m_up) {
          world.Start(host);
        }
        break;
      case 5:
        world.m_hosts[host].m_store_unreachable ^= true;
        break;
      case 6:
        world.SetEvacuated("dc-" + std::to_string(below(2)), below(2) == 0);
        break;
      case 7:
        world.m_servers[server].m_grants = {};
        ++world.m_servers[server].m_incarnation;
        world.RegisterServer(server);
        break;
      case 8:
        world.WriteRowsAgain();
        break;
      case 9:
        world.m_hosts[host].m_isolated ^= true;
        break;
      default:
        world.m_late_write_delay = milliseconds(200 + 300 * below(7));
        world.m_hosts[host].m_call_delay = milliseconds(150 * below(5));
    }
    world.Run(milliseconds(20 + below(1500)));
  }
  ExpectSafe(world);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EraChaosTest, testing::Range(1U, 25U));

}  // namespace
}  // namespace foxtail
