#include <gtest/gtest.h>

#include "gateway/member_system.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(GatewayOwnershipTest, AllKeysAreOwnedAndRoutedSoonAfterTheStart) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  EXPECT_LT(world.Leader(), world.m_hosts.size());
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.CountRoutingHosts(0), world.m_hosts.size());
  EXPECT_EQ(world.m_double_grants, 0U);
}

// With many servers, a leader with a tenth of a core could not renew its lease
// besides all grants, and the lease moved from one such host to the next.
TEST(GatewayOwnershipTest, StrongHostBecomesLeader) {
  GatewayWorld world(6, 6);
  for (size_t host = 0; host < 6; ++host) {
    world.m_hosts[host].m_processor_share = host % 3 == 2 ? 0.5 : 0.1;
    world.Start(host);
  }
  world.Run(seconds(3));
  const size_t first = world.Leader();
  EXPECT_EQ(first % 3, 2U);
  world.Kill(first);
  world.Run(seconds(4));
  EXPECT_EQ(world.Leader() % 3, 2U);
  EXPECT_NE(world.Leader(), first);
}

TEST(GatewayOwnershipTest, KeysStayOwnedWhenTheLeaderIsKilled) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  const size_t killed = world.Leader();
  world.Kill(killed);
  for (int i = 0; i < 60; ++i) {
    world.Run(milliseconds(100));
    EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys) << i;
  }
  EXPECT_NE(world.Leader(), killed);
  EXPECT_LT(world.Leader(), world.m_hosts.size());
  EXPECT_EQ(world.m_double_grants, 0U);
}

// Members that did not know the new leader went on to refuse requests that need
// its tokens, for up to 1.5 s with many hosts.
TEST(GatewayOwnershipTest, MembersLearnOfANewLeaderAtOnce) {
  constexpr size_t kHosts = 20;
  GatewayWorld world(kHosts, 6);
  world.Run(seconds(3));
  const size_t killed = world.Leader();
  world.Kill(killed);
  for (int i = 0; i < 500 && world.Leader() == kHosts; ++i) {
    world.Run(milliseconds(10));
  }
  world.Run(milliseconds(30));
  ASSERT_LT(world.Leader(), kHosts);
  const std::string& leader =
      world.m_hosts[world.Leader()].m_tables.m_self.m_address;
  for (size_t host = 0; host < kHosts; ++host) {
    if (host != killed) {
      EXPECT_EQ(world.m_hosts[host].m_tables.m_leader_lease.m_record.m_address,
                leader);
    }
  }
}

TEST(GatewayOwnershipTest, KeysOfALostServerAreMovedAfterTheGrantExpires) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.m_servers[2].m_up = false;
  // The grant's TTL, clock drift, the call that may have been in flight, and
  // the time to detect the failure, to record the move and to grant the keys.
  world.Run(milliseconds(4000 + 80 + 700 + 1500));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

// A server that has ended holds no keys, so nothing waits for its grants to
// expire. Those of a preceding leader may last for ten seconds.
TEST(GatewayOwnershipTest, KeysOfAReplacedServerAreMovedAtOnce) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  const auto replace = [&world](size_t server) {
    world.m_servers[server].m_up = false;
    world.m_servers[server].m_replaced = true;
  };
  replace(2);
  world.Run(milliseconds(2000));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  world.Kill(world.Leader());
  replace(3);
  replace(4);
  world.DeregisterServer(4);
  // The lease expires, and the new leader reads the owners.
  world.Run(milliseconds(4500));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

TEST(GatewayOwnershipTest, ADrainingServerIsEmptiedWithinASecond) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.m_servers[1].m_draining = true;
  world.RegisterServer(1);
  world.Run(milliseconds(900));
  EXPECT_EQ(world.CountGrantedKeysOf(1), 0U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

// A server may say in its responses that it is leaving, and never in its
// registration.
TEST(GatewayOwnershipTest, ServerThatToldAMemberThatItIsLeavingIsEmptied) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  const size_t member = (world.Leader() + 1) % world.m_hosts.size();
  const auto tell = [&world](size_t host, int64_t incarnation) {
    GatewayTables& tables = world.m_hosts[host].m_tables;
    const ServerId id = tables.m_servers_by_id.begin()->second;
    MemberSystem::SendLeavingServers(
        tables, {{{tables.m_servers.Get(id).m_entry.m_id, incarnation}}},
        {world.m_now, WallTime(), BootTime(world.m_now.time_since_epoch())});
  };
  // A notice about an earlier start of the server changes nothing.
  tell(member, 0);
  world.Run(milliseconds(900));
  EXPECT_GT(world.CountGrantedKeysOf(0), 0U);
  tell(member, 1);
  world.Run(milliseconds(900));
  EXPECT_EQ(world.CountGrantedKeysOf(0), 0U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

TEST(GatewayOwnershipTest, EvacuatedDataCentreIsEmptiedAndUsedAgain) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.SetEvacuated("dc-1", true);
  world.Run(seconds(2));
  EXPECT_EQ(world.CountGrantedKeysOf(1) + world.CountGrantedKeysOf(3) +
                world.CountGrantedKeysOf(5),
            0U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  world.SetEvacuated("dc-1", false);
  world.Run(seconds(4));
  EXPECT_GT(world.CountGrantedKeysOf(1), 0U);
  EXPECT_EQ(world.m_double_grants, 0U);
}

TEST(GatewayOwnershipTest, ANewServerReceivesKeys) {
  GatewayWorld world(3, 6);
  world.DeregisterServer(5);
  world.Run(seconds(3));
  EXPECT_EQ(world.CountGrantedKeysOf(5), 0U);
  world.RegisterServer(5);
  world.Run(seconds(3));
  EXPECT_GE(world.CountGrantedKeysOf(5), kSampledKeys / 6 / 2);
  EXPECT_EQ(world.m_double_grants, 0U);
}

// Ranges that had moved were in a different order in the table than in the
// plan. The plan therefore never matched the table, and loaded servers were
// no longer relieved.
TEST(GatewayOwnershipTest, HotKeysAreSpreadAfterOtherMoves) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.SetEvacuated("dc-1", true);
  world.Run(seconds(2));
  world.SetEvacuated("dc-1", false);
  world.Run(seconds(4));
  constexpr uint32_t kHotSamples = 4;
  constexpr uint32_t kSlicesPerSample = kSlices / kSampledKeys;
  ServiceLoad load{"catalogue", {}};
  for (uint32_t slice = 0; slice < kHotSamples * kSlicesPerSample; ++slice) {
    load.m_slices.push_back({static_cast<uint16_t>(slice), 1});
  }
  world.m_hosts[0].m_loads = {load};
  world.Run(seconds(4));
  size_t owners = 0;
  for (const FakeServer& server : world.m_servers) {
    bool owns = false;
    for (uint32_t sample = 0; sample < kHotSamples; ++sample) {
      owns = owns || server.HasGrant(sample, world.m_now);
    }
    owners += owns ? 1 : 0;
  }
  EXPECT_GE(owners, 3U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

TEST(GatewayOwnershipTest, ARestartedServerIsGrantedItsKeysAgain) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  world.m_servers[0].m_grants = {};
  world.m_servers[0].m_incarnation = 2;
  world.RegisterServer(0);
  world.Run(milliseconds(200));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

// Servers started again behind a cut, and the last rows of their earlier lives
// were written after those of the new ones. The next leader read both and gave
// away the keys that the new lives held.
TEST(GatewayOwnershipTest, NewLeaderKeepsTheKeysOfServersThatStartedAgain) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  for (size_t server = 0; server < 2; ++server) {
    const FakeServer before = world.m_servers[server];
    world.DeregisterServer(server);
    world.RestartServer(server, before.m_id + "-again");
    world.RegisterServer(server);
    const FakeServer after = world.m_servers[server];
    world.m_servers[server] = before;
    world.RegisterServer(server);
    world.m_servers[server] = after;
  }
  world.Run(seconds(3));
  EXPECT_GT(world.CountGrantedKeysOf(0), 0U);
  world.Kill(world.Leader());
  world.Run(seconds(8));
  EXPECT_GT(world.CountGrantedKeysOf(0), 0U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

// While the store refused the leader, the leader granted the longest TTL. Its
// successor moved keys of the evacuated data centre as if they had no owner.
TEST(GatewayOwnershipTest, SuccessorReleasesGrantsOfThePreviousLeader) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  const size_t refused = world.Leader();
  world.m_hosts[refused].m_store_unreachable = true;
  world.SetEvacuated("dc-1", true);
  world.Run(seconds(8));
  EXPECT_NE(world.Leader(), refused);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

TEST(GatewayOwnershipTest, KeysStayOwnedDuringAStoreOutage) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  world.m_store_down = true;
  for (int i = 0; i < 90; ++i) {
    world.Run(milliseconds(100));
    EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys) << i;
  }
  world.m_store_down = false;
  world.Run(seconds(2));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.m_double_grants, 0U);
}

// A tick time in the past would make the control thread spin.
TEST(GatewayOwnershipTest, StoppingHostHasNoTickInThePast) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  const size_t leader = world.Leader();
  world.m_hosts[leader].m_tables.m_shutting_down = true;
  world.m_hosts[leader].m_tables.m_leader_lease.m_next_store_call_at =
      TimePoint();
  world.Run(seconds(7));
  EXPECT_NE(world.Leader(), leader);
  for (const FakeHost& host : world.m_hosts) {
    EXPECT_GT(host.m_tables.m_next_tick_at, world.m_now);
  }
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
}

// The next leader acquires a released lease at once. If the response to the
// release was lost, the one before acted beside it until it read the lease.
TEST(GatewayOwnershipTest, LeaderStopsActingWhenItSendsTheRelease) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  const size_t leader = world.Leader();
  FakeHost& host = world.m_hosts[leader];
  host.m_tables.m_shutting_down = true;
  world.m_lost_response_rate = 1;
  while (!host.m_tables.m_leader_lease.m_pending_record.m_released) {
    world.Run(milliseconds(10));
  }
  world.m_lost_response_rate = 0;
  host.m_store_unreachable = true;
  world.Run(seconds(5));
  EXPECT_NE(world.Leader(), leader);
  EXPECT_LT(world.Leader(), world.m_hosts.size());
  EXPECT_EQ(world.m_double_leaders, 0U);
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
}

// A release that reaches the store late takes effect after the leader has read
// its lease as not released.
TEST(GatewayOwnershipTest, LeaderDoesNotActAgainAfterALateRelease) {
  GatewayWorld world(3, 6);
  world.Run(seconds(3));
  const size_t leader = world.Leader();
  GatewayTables& tables = world.m_hosts[leader].m_tables;
  tables.m_leader_lease.m_resigning = true;
  world.m_late_write_rate = 1;
  world.m_late_write_delay = milliseconds(800);
  while (!tables.m_leader_lease.m_pending_record.m_released) {
    world.Run(milliseconds(10));
  }
  world.m_late_write_rate = 0;
  for (int i = 0; i < 300; ++i) {
    world.Run(milliseconds(10));
    ASSERT_NE(world.Leader(), leader) << i;
  }
  EXPECT_LT(world.Leader(), world.m_hosts.size());
  EXPECT_EQ(world.m_double_leaders, 0U);
}

TEST(GatewayOwnershipTest, OwnershipRecoversAfterAllHostsCrash) {
  GatewayWorld world(5, 6);
  world.Run(seconds(3));
  for (size_t host = 0; host < 5; ++host) {
    world.Kill(host);
  }
  world.Run(seconds(6));
  EXPECT_EQ(world.CountGrantedKeys(), 0U);
  for (size_t host = 0; host < 5; ++host) {
    world.Start(host);
  }
  world.Run(seconds(4));
  EXPECT_EQ(world.CountGrantedKeys(), kSampledKeys);
  EXPECT_EQ(world.CountRoutingHosts(7), world.m_hosts.size());
  EXPECT_EQ(world.m_double_grants, 0U);
}

// Injects overlapping random faults and checks safety only, not liveness.
class GatewayChaosTest : public testing::TestWithParam<uint32_t> {};

TEST_P(GatewayChaosTest, NoKeyHasTwoOwners) {
  std::minstd_rand random(GetParam());
  const auto below = [&random](size_t limit) { return random() % limit; };
  GatewayWorld world(5, 6, GetParam());
  world.m_lost_response_rate = 0.1;
  world.m_late_grant_rate = 0.05;
  world.m_lost_datagram_rate = 0.05;
  world.Run(seconds(3));
  for (int i = 0; i < 60; ++i) {
    const size_t host = below(5);
    const size_t server = below(6);
    switch (below(9)) {
      case 0:
        world.m_hosts[host].m_up ? world.Kill(host) : world.Start(host);
        break;
      case 1:
        world.m_hosts[host].m_store_unreachable ^= true;
        break;
      case 2:
        world.m_store_down ^= true;
        break;
      case 3:
        world.m_servers[server].m_draining ^= true;
        world.RegisterServer(server);
        break;
      case 4:
        world.SetEvacuated("dc-" + std::to_string(below(2)), below(2) == 0);
        break;
      case 5:
        world.m_servers[server].m_grants = {};
        ++world.m_servers[server].m_incarnation;
        world.RegisterServer(server);
        break;
      case 6:
        if (!world.m_servers[server].m_unreachable_from.erase(host)) {
          world.m_servers[server].m_unreachable_from.insert(host);
        }
        break;
      case 7:
        world.m_hosts[host].m_call_delay = milliseconds(150 * below(6));
        break;
      default:
        world.m_hosts[host].m_isolated ^= true;
    }
    world.Run(milliseconds(100 + below(1500)));
  }
  EXPECT_EQ(world.m_double_grants, 0U);
  EXPECT_EQ(world.m_low_fences, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, GatewayChaosTest, testing::Range(1U, 41U));

}  // namespace
}  // namespace foxtail
