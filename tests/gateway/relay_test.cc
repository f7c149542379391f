#include <gtest/gtest.h>

#include "gateway/member_system.h"
#include "gateway/relay_system.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "server-1";

// Hosts that are up and have not heard that the server drains.
size_t CountUnaware(const GatewayWorld& world) {
  size_t unaware = 0;
  for (const FakeHost& host : world.m_hosts) {
    const ServerRow* server = FindServer(host.m_tables, kServer);
    unaware += host.m_up && server && IsEligible(*server) ? 1 : 0;
  }
  return unaware;
}

void Drain(GatewayWorld& world) {
  world.m_servers[1].m_draining = true;
  world.SetServer(1);
}

TEST(RelayTest, AChangeReachesAllHostsThroughTheLeaderAlone) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  world.m_reads = 0;
  Drain(world);
  world.Run(milliseconds(50));
  EXPECT_EQ(CountUnaware(world), 0U);
  // The change itself, and what the leader then wrote about owners.
  EXPECT_LE(world.m_reads, 4U);
}

TEST(RelayTest, LostNewsAreReadFromTheStore) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  world.m_lost_datagrams = 0.5;
  Drain(world);
  world.Run(milliseconds(50));
  EXPECT_GT(CountUnaware(world), 0U);
  world.m_lost_datagrams = 0;
  // A report, the pause before a read, and the read.
  world.Run(milliseconds(900));
  EXPECT_EQ(CountUnaware(world), 0U);
}

// New work must cease at a leaving server within 2 s, also when the leader is
// lost or cut off at the same moment; part of that is for keys on their way.
TEST(RelayTest, HostsWatchThemselvesWithoutALeader) {
  GatewayWorld world(5, 6);
  world.Run(seconds(4));
  world.Kill(world.Leader());
  Drain(world);
  world.Run(milliseconds(1300));
  EXPECT_EQ(CountUnaware(world), 0U);
}

TEST(RelayTest, HostsWatchThemselvesWhenTheLeaderLosesTheStore) {
  GatewayWorld world(5, 6);
  world.Run(seconds(4));
  const size_t leader = world.Leader();
  world.m_hosts[leader].m_store_refuses = true;
  Drain(world);
  world.Run(milliseconds(1500));
  // The leader itself hears it only once another leads.
  EXPECT_LE(CountUnaware(world), 1U);
}

// Found on a hunted day: a host that had been cut off took a server that left
// 2.4 s after its own return to the store for one whose entry had lapsed in an
// outage, and went on sending to it, though the leader had never lost the
// store.
TEST(RelayTest, AServerThatLeavesIsGoneForAHostThatWasCutOff) {
  const FakeDirectory decoder;
  const DirectorySystem directory(decoder);
  GatewayTables tables;
  const Now now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
  directory.OnServerRows(tables, {{kServer, "10.1.0.2:80 dc-1 0 1", 1, false}},
                         true, now);
  tables.m_servers_contact_since = now.m_steady;
  ReportResponse digest;
  digest.m_relaying = true;
  digest.m_servers_contact_age_ms = 60'000;
  MemberSystem::OnReportResponse(tables, digest, now);
  directory.OnServerRows(tables, {{kServer, "", 2, true}}, false, now);
  EXPECT_FALSE(FindServer(tables, kServer)->m_registered);
}

TEST(RelayTest, RowsThatAreKnownAreNotTakenBack) {
  GatewayTables tables;
  WatchProgress& progress = tables.m_progress[kServerRows];
  progress.RecordAppliedVersion(10);
  const Now now{TimePoint() + seconds(100), WallTime(), BootTime()};
  RelayedRows news{1, kServerRows, 5, 12, {{"a", "old", 8}, {"b", "new", 12}}};
  const auto rows = RelaySystem::OnRelayedRows(tables, news, now);
  ASSERT_TRUE(rows);
  ASSERT_EQ(rows->m_rows.size(), 1U);
  EXPECT_EQ(rows->m_rows[0].m_key, "b");
  // A change between 10 and 11 is missing.
  news.m_from_version = 11;
  EXPECT_FALSE(RelaySystem::OnRelayedRows(tables, news, now));
  EXPECT_TRUE(RelaySystem::IsProbeDue(
      tables, kServerRows, {now.m_steady + seconds(1), {}, now.m_boot}));
}

}  // namespace
}  // namespace foxtail
