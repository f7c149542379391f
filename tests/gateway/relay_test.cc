#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "gateway/member_system.h"
#include "gateway/relay_groups.h"
#include "gateway/relay_system.h"
#include "gateway/routing_snapshot.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "server-1";

// Counts running hosts that have not applied the draining of the server.
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
  world.RegisterServer(1);
}

TEST(RelayTest, AllHostsApplyChangesThatOnlyTheLeaderReads) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  world.m_watch_reads = 0;
  Drain(world);
  world.Run(milliseconds(50));
  EXPECT_EQ(CountUnaware(world), 0U);
  // The leader reads the change itself and then its own writes of owners.
  EXPECT_LE(world.m_watch_reads, 4U);
}

TEST(RelayTest, LostRelayedRowsAreReadFromTheStore) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  world.m_lost_datagram_rate = 0.5;
  Drain(world);
  world.Run(milliseconds(50));
  EXPECT_GT(CountUnaware(world), 0U);
  world.m_lost_datagram_rate = 0;
  // Covers a report, the lag that is tolerated before a read, and the read.
  world.Run(milliseconds(900));
  EXPECT_EQ(CountUnaware(world), 0U);
}

// A draining server must receive no new requests after 2 s, also when the
// leader crashes or loses the store at the same moment. Moving the keys takes
// part of that time.
TEST(RelayTest, HostsWatchTheStoreWithoutALeader) {
  GatewayWorld world(5, 6);
  world.Run(seconds(4));
  world.Kill(world.Leader());
  Drain(world);
  world.Run(milliseconds(1300));
  EXPECT_EQ(CountUnaware(world), 0U);
}

TEST(RelayTest, HostsWatchTheStoreWhenTheLeaderLosesIt) {
  GatewayWorld world(5, 6);
  world.Run(seconds(4));
  const size_t leader = world.Leader();
  world.m_hosts[leader].m_store_unreachable = true;
  Drain(world);
  world.Run(milliseconds(1500));
  // The leader that lost the store receives the change only once another host
  // leads.
  EXPECT_LE(CountUnaware(world), 1U);
}

// The members learnt that the leader's reads failed from their age only, which
// took 1 s and more.
TEST(RelayTest, MembersReadTheStoreSoonAfterTheLeaderIsRefused) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  world.m_hosts[world.Leader()].m_store_unreachable = true;
  Drain(world);
  // Two failed reads and the next report.
  world.Run(milliseconds(750));
  EXPECT_LE(CountUnaware(world), 1U);
}

// One failed read of the leader made all members read the store.
TEST(RelayTest, MembersDoNotReadTheStoreAfterASingleFailure) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  const size_t leader = world.Leader();
  world.m_hosts[leader].m_store_unreachable = true;
  world.Run(milliseconds(200));
  world.m_hosts[leader].m_store_unreachable = false;
  world.m_watch_reads = 0;
  for (int i = 0; i < 100; ++i) {
    world.Run(milliseconds(10));
    for (size_t host = 0; host < world.m_hosts.size(); ++host) {
      const Now now{world.m_now, WallTime(),
                    BootTime(world.m_now.time_since_epoch())};
      EXPECT_TRUE(host == leader ||
                  !RelaySystem::MustWatch(world.m_hosts[host].m_tables, now));
    }
  }
}

// Returns whether a host sends requests to the server, for its keys at least.
bool MaySend(const GatewayWorld& world, size_t host, size_t server) {
  const auto snapshot = BuildSnapshot(world.m_hosts[host].m_tables);
  const ServiceEndpoints* endpoints = snapshot->FindEndpoints(kShardedService);
  if (!endpoints) {
    return false;
  }
  const auto found = endpoints->m_servers.find(world.m_servers[server].m_id);
  return found != endpoints->m_servers.end() &&
         (found->second.m_eligible || world.m_now < found->second.m_send_until);
}

/// How a server leaves, and how long before that the leader's newest read of
/// the store was sent, in milliseconds.
struct LeaveCase {
  bool m_removed = false;
  bool m_silent = false;
  int m_read_before = 0;
};

class LeaveWhileTheLeaderIsRefusedTest
    : public testing::TestWithParam<LeaveCase> {};

// A server that leaves must get no requests 2 s after the store has
// acknowledged so. The members waited for the leader, which the store refused,
// and sent to the owner of keys for 0.9 s after they had heard. The bound
// leaves a tenth of a second for requests under way.
TEST_P(LeaveWhileTheLeaderIsRefusedTest, HostsInTouchStopInTime) {
  GatewayWorld world(10, 6);
  world.Run(milliseconds(4000 + GetParam().m_read_before));
  const size_t leader = world.Leader();
  ASSERT_LT(leader, world.m_hosts.size());
  world.m_hosts[leader].m_store_unreachable = true;
  world.m_hosts[leader].m_store_silent = GetParam().m_silent;
  if (GetParam().m_removed) {
    world.DeregisterServer(1);
  } else {
    Drain(world);
  }
  world.Run(milliseconds(1900));
  for (int i = 0; i < 100; ++i) {
    for (size_t host = 0; host < world.m_hosts.size(); ++host) {
      EXPECT_FALSE(host != leader && MaySend(world, host, 1)) << host;
    }
    world.Run(milliseconds(10));
  }
}

class LeaveAfterAShortRefusalTest : public testing::TestWithParam<LeaveCase> {};

// The store refused the leader for 1 s, which counted as an outage. The rows of
// servers that left afterwards were taken for registrations that had lapsed in
// it, and the servers stayed in use for 2.2 s.
TEST_P(LeaveAfterAShortRefusalTest, HostsInTouchStopInTime) {
  for (const int after : {500, 900, 1500, 2200, 3000}) {
    GatewayWorld world(10, 6);
    world.Run(milliseconds(4000 + GetParam().m_read_before));
    const size_t leader = world.Leader();
    ASSERT_LT(leader, world.m_hosts.size());
    FakeHost& refused = world.m_hosts[leader];
    refused.m_store_unreachable = true;
    refused.m_store_silent = GetParam().m_silent;
    const auto run_until = [&, start = world.m_now](int offset) {
      while (world.m_now < start + milliseconds(offset)) {
        world.Run(milliseconds(10));
        refused.m_store_unreachable = world.m_now < start + milliseconds(1000);
      }
    };
    run_until(after);
    if (GetParam().m_removed) {
      world.DeregisterServer(1);
    } else {
      Drain(world);
    }
    run_until(after + 1900);
    for (int i = 0; i < 50; ++i) {
      for (size_t host = 0; host < world.m_hosts.size(); ++host) {
        EXPECT_FALSE(host != leader && MaySend(world, host, 1))
            << host << " " << after;
      }
      run_until(after + 1900 + i * 10);
    }
  }
}

// Registrations lapse in an outage of the store, and are back within 2 s.
TEST(OutageTest, ServersWhoseRegistrationsLapseStayInUse) {
  GatewayWorld world(10, 6);
  world.Run(seconds(4));
  world.m_store_down = true;
  world.Run(milliseconds(2500));
  world.DeregisterServer(1);
  world.Run(milliseconds(500));
  world.m_store_down = false;
  for (int i = 0; i < 400; ++i) {
    world.Run(milliseconds(10));
    for (size_t host = 0; host < world.m_hosts.size(); ++host) {
      EXPECT_TRUE(MaySend(world, host, 1)) << host << " " << i;
    }
    if (i == 180) {
      world.RegisterServer(1);
    }
  }
}

std::vector<LeaveCase> ListLeaveCases() {
  std::vector<LeaveCase> cases;
  for (int read_before = 0; read_before < 800; read_before += 100) {
    for (const bool removed : {false, true}) {
      for (const bool silent : {false, true}) {
        cases.push_back({removed, silent, read_before});
      }
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Times,
                         LeaveWhileTheLeaderIsRefusedTest,
                         testing::ValuesIn(ListLeaveCases()));
INSTANTIATE_TEST_SUITE_P(Times,
                         LeaveAfterAShortRefusalTest,
                         testing::ValuesIn(ListLeaveCases()));

/// A host that is not the leader and has read the registration of `kServer`.
struct Member {
  Member() { ApplyServer(false, 1, false); }

  void ApplyServer(bool draining, uint64_t version, bool removed) {
    const std::string fields =
        "10.1.0.2:80 dc-1 " + std::to_string(draining ? 1 : 0) + " 1";
    m_directory.ApplyServerRows(m_tables, {{kServer, fields, version, removed}},
                                version == 1, m_now);
    m_tables.m_progress[kServerRows].RecordAppliedVersion(version);
  }

  // Receives a response of a leader that relays changes, has never lost the
  // store, and knows of the servers' rows up to `version`.
  void HearFromLeader(uint64_t version) {
    ReportResponse response;
    response.m_relaying = true;
    response.m_store_reachable_for_ms = 60'000;
    response.m_last_change_versions[kServerRows] = version;
    MemberSystem::OnReportResponse(m_tables, response, m_now);
  }

  void HearFromLeaderThatDoesNotRelay() {
    MemberSystem::OnReportResponse(m_tables, ReportResponse(), m_now);
  }

  const ServerRow& GetServer() const { return *FindServer(m_tables, kServer); }

  FakeDirectoryDecoder m_decoder;
  DirectorySystem m_directory{m_decoder};
  GatewayTables m_tables;
  Now m_now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
};

// A host that had been partitioned treated a server that deregistered 2.4 s
// after the host reached the store again as one whose registration had expired
// in an outage. The host kept sending requests to it, although the leader had
// never lost the store.
TEST(RelayTest, DeregisteredServerIsRemovedAtAHostThatWasPartitioned) {
  Member member;
  member.m_tables.m_store_reachable_since = member.m_now.m_steady;
  member.HearFromLeader(1);
  member.ApplyServer(false, 2, true);
  EXPECT_FALSE(member.GetServer().m_registered);
}

// A watch of a host that had lost the store outlasted the outage and ended with
// the removal of a server, while the leader was relaying.
TEST(RelayTest, OwnOutageDoesNotDelayARemovalWhileTheLeaderRelays) {
  Member member;
  member.HearFromLeader(1);
  RelaySystem::OnStoreReachable(member.m_tables, member.m_now);
  member.ApplyServer(false, 2, true);
  EXPECT_FALSE(member.GetServer().m_registered);
}

TEST(RelayTest, OwnOutageCountsWithoutALeaderThatRelays) {
  Member member;
  RelaySystem::OnStoreReachable(member.m_tables, member.m_now);
  member.ApplyServer(false, 2, true);
  EXPECT_TRUE(member.GetServer().m_registered);
}

// A host that missed the relayed row hears of a change first and reads it
// later. It stops sending by when it heard.
TEST(RelayTest, ADrainReadLateEndsNoLater) {
  for (const bool removed : {false, true}) {
    Member member;
    member.HearFromLeader(2);
    const TimePoint heard_at = member.m_now.m_steady;
    member.m_now.m_steady += milliseconds(500);
    member.ApplyServer(true, 2, removed);
    const ServerRow& server = member.GetServer();
    EXPECT_EQ(removed ? server.m_deregistered_since : server.m_draining_since,
              heard_at);
  }
}

// A host that had seen nothing for a while sent to the owner of keys for 0.9 s
// more, counted from the news.
TEST(RelayTest, ADrainCountsFromWhenItMayHaveBeenAcknowledged) {
  for (const bool removed : {false, true}) {
    for (const milliseconds unseen : {milliseconds(700), milliseconds(5000)}) {
      Member member;
      WatchProgress& progress = member.m_tables.m_progress[kServerRows];
      progress.RecordCompleteAt(member.m_now.m_boot);
      member.m_now.m_steady += unseen;
      member.m_now.m_boot += unseen;
      member.ApplyServer(true, 2, removed);
      const ServerRow& server = member.GetServer();
      EXPECT_EQ(removed ? server.m_deregistered_since : server.m_draining_since,
                member.m_now.m_steady - std::min(unseen, milliseconds(1000)));
    }
  }
}

// The first change that an open watch returns is new, however long the watch
// was open: the keys need the time to move.
TEST(RelayTest, ADrainThatAnOpenWatchReturnsIsNew) {
  Member member;
  WatchProgress& progress = member.m_tables.m_progress[kServerRows];
  progress.RecordCompleteAt(member.m_now.m_boot - seconds(5));
  progress.RecordAnsweredWatch(member.m_now.m_boot - seconds(5),
                               member.m_now.m_boot);
  member.ApplyServer(true, 2, false);
  EXPECT_EQ(member.GetServer().m_draining_since, member.m_now.m_steady);
}

// A watch that is answered at once returns changes of any age since the read
// before.
TEST(RelayTest, ADrainThatAWatchReturnsAtOnceMayBeOld) {
  Member member;
  WatchProgress& progress = member.m_tables.m_progress[kServerRows];
  progress.RecordCompleteAt(member.m_now.m_boot - milliseconds(800));
  progress.RecordAnsweredWatch(member.m_now.m_boot - milliseconds(10),
                               member.m_now.m_boot);
  member.ApplyServer(true, 2, false);
  EXPECT_EQ(member.GetServer().m_draining_since,
            member.m_now.m_steady - milliseconds(800));
}

TEST(RelayTest, RelayedRowsTellTheirAge) {
  Member leader;
  leader.m_tables.m_leader_lease.m_phase = LeaderLeasePhase::kLeader;
  leader.m_tables.m_leader_lease.m_authority_until =
      leader.m_now.m_boot + seconds(1);
  MemberRow other;
  other.m_record.m_address = "10.1.0.3:7360";
  leader.m_tables.m_members.Insert(other);
  leader.m_tables.m_progress[kServerRows].RecordCompleteAt(leader.m_now.m_boot -
                                                           milliseconds(600));
  RelaySystem::OnRead(leader.m_tables, kServerRows, 1,
                      {StoreOutcome::kDone, {{kServer, "", 2, true}}, 2},
                      leader.m_now);
  ASSERT_EQ(leader.m_tables.m_outbox.size(), 1U);
  const auto& command =
      std::get<SendDatagramCommand>(leader.m_tables.m_outbox[0]);

  Member member;
  const auto rows = RelaySystem::OnRelayedRows(
      member.m_tables, std::get<RelayedRows>(command.m_message), member.m_now);
  ASSERT_TRUE(rows);
  member.ApplyServer(false, 2, true);
  EXPECT_EQ(member.GetServer().m_deregistered_since,
            member.m_now.m_steady - milliseconds(600));
}

TEST(RelayTest, RelayedRowsDoNotReplaceNewerOnes) {
  GatewayTables tables;
  WatchProgress& progress = tables.m_progress[kServerRows];
  progress.RecordAppliedVersion(10);
  const Now now{TimePoint() + seconds(100), WallTime(), BootTime()};
  RelayedRows relayed;
  relayed.m_epoch = 1;
  relayed.m_kind = kServerRows;
  relayed.m_from_version = 5;
  relayed.m_to_version = 12;
  relayed.m_rows = {{"a", "old", 8}, {"b", "new", 12}};
  const auto rows = RelaySystem::OnRelayedRows(tables, relayed, now);
  ASSERT_TRUE(rows);
  ASSERT_EQ(rows->m_rows.size(), 1U);
  EXPECT_EQ(rows->m_rows[0].m_key, "b");
  // The change between 10 and 11 is missing.
  relayed.m_from_version = 11;
  EXPECT_FALSE(RelaySystem::OnRelayedRows(tables, relayed, now));
  EXPECT_TRUE(RelaySystem::IsProbeDue(
      tables, kServerRows, {now.m_steady + seconds(1), {}, now.m_boot}));
}

// Each change went from the leader to each member; with 295 hosts that took all
// of its link, and its grants and answers came late.
TEST(RelayTest, LeaderSendsAChangeToFewMembersAndAllReceiveIt) {
  constexpr size_t kHosts = 60;
  GatewayWorld world(kHosts, 6);
  world.Run(seconds(4));
  const GatewayTables& leader = world.m_hosts[world.Leader()].m_tables;
  const std::vector<RelayGroup> groups = BuildRelayGroups(
      leader,
      {world.m_now, WallTime(), BootTime(world.m_now.time_since_epoch())});
  std::set<std::string> members;
  for (const RelayGroup& group : groups) {
    members.insert(group.m_relay);
    members.insert(group.m_followers.begin(), group.m_followers.end());
  }
  EXPECT_LE(groups.size(), kHosts / 10);
  EXPECT_EQ(members.size(), kHosts - 1);
  const size_t reads_before = world.m_watch_reads;
  Drain(world);
  world.Run(milliseconds(400));
  EXPECT_EQ(CountUnaware(world), 0U);
  EXPECT_LE(world.m_watch_reads - reads_before, 8U);
}

// Hosts that started together each received all others' registrations from the
// store: 295 hosts made thousands of calls.
TEST(RelayTest, AProcessThatStartedWaitsForALeaderBeforeItWatches) {
  GatewayTables tables;
  Now now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
  RelaySystem::OnStarted(tables, now.m_steady);
  EXPECT_FALSE(RelaySystem::MustWatch(tables, now));
  now.m_steady += tables.m_settings.m_relay_start_grace;
  EXPECT_TRUE(RelaySystem::MustWatch(tables, now));
}

// The start of 295 hosts took 8,000 calls to the store: attempts to acquire the
// lease, reads of its row, and watches.
TEST(RelayTest, HostsThatStartTogetherMakeFewCalls) {
  constexpr size_t kHosts = 60;
  GatewayWorld world(kHosts, 6);
  for (size_t host = 0; host < kHosts; ++host) {
    world.m_hosts[host].m_processor_share = host % 20 == 0 ? 0.5 : 0.1;
    world.Start(host);
  }
  world.Run(seconds(5));
  EXPECT_LT(world.Leader(), kHosts);
  EXPECT_EQ(world.CountRoutingHosts(0), kHosts);
  // For each host the three tables, its registration, a read of the lease and
  // one more call; and the leader's own.
  EXPECT_LE(world.m_row_calls + world.m_watch_reads, 6 * kHosts + 60);
}

// A relay that stopped must not keep its followers from learning of changes.
TEST(RelayTest, FollowersOfALostRelayReadTheStore) {
  GatewayWorld world(30, 6);
  world.Run(seconds(4));
  const GatewayTables& leader = world.m_hosts[world.Leader()].m_tables;
  const std::vector<RelayGroup> groups = BuildRelayGroups(
      leader,
      {world.m_now, WallTime(), BootTime(world.m_now.time_since_epoch())});
  for (size_t host = 0; host < world.m_hosts.size(); ++host) {
    const std::string& address = world.m_hosts[host].m_tables.m_self.m_address;
    if (std::ranges::count(groups, address, &RelayGroup::m_relay) > 0) {
      world.m_hosts[host].m_isolated = true;
    }
  }
  Drain(world);
  world.Run(milliseconds(1500));
  EXPECT_EQ(CountUnaware(world), 0U);
}

TEST(RelayTest, MessagesAreForwardedToMembersOnly) {
  GatewayTables tables;
  MemberRow member;
  member.m_record.m_address = "10.1.0.3:7360";
  tables.m_members.Insert(member);
  RelayedRows relayed;
  relayed.m_followers = {"10.1.0.3:7360", "10.9.9.9:53"};
  const auto forward = RelaySystem::TakeForward(tables, relayed);
  ASSERT_TRUE(forward);
  EXPECT_EQ(forward->m_addresses, std::vector<std::string>{"10.1.0.3:7360"});
  EXPECT_TRUE(std::get<RelayedRows>(forward->m_message).m_followers.empty());
  tables.m_leader_lease.m_record.m_epoch = 2;
  relayed.m_followers = {"10.1.0.3:7360"};
  EXPECT_FALSE(RelaySystem::TakeForward(tables, relayed));
}

// A member without a leader that relays watches the store by itself. Its watch
// of the servers could be silent for 26 s, and a server that left stayed in
// use.
TEST(RelayTest, MemberThatWatchesByItselfProbesTheServers) {
  GatewayTables tables;
  Now now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
  tables.m_relayed_until = now.m_steady;
  tables.m_progress[kServerRows].m_last_read_sent_at = now.m_boot;
  const auto advance = [&now](Duration time) {
    now.m_steady += time;
    now.m_boot += time;
  };
  advance(seconds(1));
  EXPECT_FALSE(RelaySystem::IsProbeDue(tables, kServerRows, now));
  advance(seconds(2));
  EXPECT_TRUE(RelaySystem::IsProbeDue(tables, kServerRows, now));
  tables.m_progress[kServerRows].m_last_read_sent_at = now.m_boot;
  EXPECT_FALSE(RelaySystem::IsProbeDue(tables, kServerRows, now));
  // Rows that a leader relays need no probe.
  advance(seconds(3));
  tables.m_relayed_until = now.m_steady + seconds(1);
  EXPECT_FALSE(RelaySystem::IsProbeDue(tables, kServerRows, now));
}

// While the store failed, the leader answered that it did not relay, and all
// members probed the servers at once and three times a second.
TEST(RelayTest, MemberProbesTheServersOnlySomeTimeAfterTheLeaderStopsRelaying) {
  Member member;
  const auto advance = [&member](Duration time) {
    member.m_now.m_steady += time;
    member.m_now.m_boot += time;
  };
  const auto is_due = [&member] {
    return RelaySystem::IsProbeDue(member.m_tables, kServerRows, member.m_now);
  };
  member.HearFromLeader(1);
  advance(milliseconds(500));
  member.HearFromLeaderThatDoesNotRelay();
  EXPECT_TRUE(RelaySystem::MustWatch(member.m_tables, member.m_now));
  EXPECT_FALSE(is_due());
  // Further responses do not put the probe off.
  const Duration age = member.m_tables.m_settings.m_member_refresh_age;
  advance(age - milliseconds(100));
  member.HearFromLeaderThatDoesNotRelay();
  EXPECT_FALSE(is_due());
  advance(milliseconds(200));
  member.HearFromLeaderThatDoesNotRelay();
  EXPECT_TRUE(is_due());
}

}  // namespace
}  // namespace foxtail
