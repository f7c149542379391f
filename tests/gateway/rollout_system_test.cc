#include "gateway/rollout_system.h"

#include <gtest/gtest.h>

#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kPeriod{60};
constexpr size_t kServers = 8;

// A world in which a new version has just been registered beside the old one.
struct RolloutWorld {
  explicit RolloutWorld(bool sharded, size_t hosts = 5, double rate = 60)
      : m_world(hosts, 2 * kServers) {
    m_service = sharded ? kShardedService : kUnshardedService;
    for (size_t i = 0; i < 2 * kServers; ++i) {
      m_world.m_servers[i].m_service = m_service;
      m_world.m_servers[i].m_software_version = i < kServers ? "v1" : "v2";
      if (i < kServers) {
        m_world.RegisterServer(i);
      } else {
        m_world.DeregisterServer(i);
      }
    }
    m_world.Run(seconds(5));
    FakeRolloutTraffic& traffic = m_world.m_traffic;
    traffic.m_service = m_service;
    traffic.m_sharded = sharded;
    traffic.m_target = "v2";
    traffic.m_rate = rate;
    m_world.Run(seconds(1));
    Order("v2");
    for (size_t i = kServers; i < 2 * kServers; ++i) {
      m_world.RegisterServer(i);
    }
  }

  void Order(const std::string& version) {
    m_world.OrderRollout(m_service, version, kPeriod);
    m_ordered_at = m_world.m_now;
    m_requests_before = m_world.m_traffic.m_requests;
  }

  std::string Status() const { return m_world.GetRolloutStatus(m_service); }

  // Runs until the order's period is over.
  void RunPeriod() { m_world.Run(m_ordered_at + kPeriod - m_world.m_now); }

  // A bad version gets at most a tenth of the requests and 50 more, and nothing
  // 5 s after its 50th bad response.
  void ExpectRolledBack() {
    RunPeriod();
    const FakeRolloutTraffic& traffic = m_world.m_traffic;
    const double requests =
        static_cast<double>(traffic.m_requests - m_requests_before);
    EXPECT_EQ(Status(), "rolled_back v2");
    EXPECT_LE(static_cast<double>(traffic.m_target_requests),
              0.1 * requests + 50);
    if (traffic.m_limit_at) {
      EXPECT_LE(traffic.m_last_target_at, *traffic.m_limit_at + seconds(5));
    }
    std::cout << "requests " << requests << ", of the target "
              << traffic.m_target_requests << ", bad " << traffic.m_target_bad
              << ", last after "
              << ToSeconds(traffic.m_last_target_at - m_ordered_at) << " s\n";
  }

  void ExpectCompleted() {
    RunPeriod();
    const FakeRolloutTraffic& traffic = m_world.m_traffic;
    EXPECT_EQ(Status(), "completed v2");
    ASSERT_TRUE(traffic.m_ended_at);
    EXPECT_EQ(traffic.m_cut_off, 0U);
    EXPECT_EQ(traffic.m_sent_to_stopped, 0U);
    EXPECT_EQ(m_world.m_double_grants, 0U);
    std::cout << "completed after "
              << ToSeconds(*traffic.m_ended_at - m_ordered_at)
              << " s, requests " << traffic.m_requests << ", unserved "
              << traffic.m_unserved << "\n";
  }

  GatewayWorld m_world;
  std::string m_service;
  TimePoint m_ordered_at;
  size_t m_requests_before = 0;
};

const RolloutRow* FindRow(GatewayTables& tables, const std::string& service) {
  return tables.m_rollouts.Find(tables.m_rollouts.FindIf(
      [&service](const RolloutRow& row) { return row.m_service == service; }));
}

FakeRolloutTraffic::Behaviour FailsIf(
    std::function<bool(const FakeCall&)> fails) {
  return [fails = std::move(fails)](const FakeCall& call) {
    FakeResponse response;
    if (call.m_version == "v2" && fails(call)) {
      response.m_result = AttemptResult::kFailed;
    }
    return response;
  };
}

// A rollout that never ends, or ends while requests are at the old servers,
// which stop at once.
TEST(RolloutSystemTest, AGoodVersionIsCompletedWithinThePeriod) {
  RolloutWorld world(false);
  world.ExpectCompleted();
}

TEST(RolloutSystemTest, AllKeysAreAtTheNewServersWhenShardedServicesComplete) {
  RolloutWorld world(true);
  world.ExpectCompleted();
}

// Without extra requests, a service with few requests gives no evidence.
TEST(RolloutSystemTest, AServiceWithFewRequestsIsCompletedToo) {
  RolloutWorld world(false, 5, 0.5);
  world.ExpectCompleted();
}

TEST(RolloutSystemTest, AVersionThatFailsAtOnceIsRolledBack) {
  for (const bool sharded : {false, true}) {
    RolloutWorld world(sharded);
    world.m_world.m_traffic.m_behaviour =
        FailsIf([](const FakeCall&) { return true; });
    world.ExpectRolledBack();
  }
}

// Responses from before must not hide that a version has turned bad.
TEST(RolloutSystemTest, AVersionThatFailsLaterIsRolledBack) {
  for (const bool sharded : {false, true}) {
    RolloutWorld world(sharded);
    world.m_world.m_traffic.m_behaviour = FailsIf(
        [](const FakeCall& call) { return call.m_since_start > seconds(25); });
    world.ExpectRolledBack();
  }
}

// A small share never loads the servers of the version.
TEST(RolloutSystemTest, AVersionThatFailsUnderLoadIsRolledBack) {
  for (const bool sharded : {false, true}) {
    RolloutWorld world(sharded);
    world.m_world.m_traffic.m_behaviour =
        FailsIf([](const FakeCall& call) { return call.m_at_version > 2; });
    world.ExpectRolledBack();
  }
}

// A route with few requests disappears in the sum over all routes.
TEST(RolloutSystemTest, AVersionThatFailsOnOneRouteIsRolledBack) {
  for (const bool sharded : {false, true}) {
    RolloutWorld world(sharded);
    world.m_world.m_traffic.m_behaviour =
        FailsIf([](const FakeCall& call) { return call.m_route == "rare"; });
    world.ExpectRolledBack();
  }
}

// Part of the responses fail: the rate must be told from chance.
TEST(RolloutSystemTest, AVersionThatFailsNowAndThenIsRolledBack) {
  for (const double rate : {0.5, 0.2, 0.1, 0.05}) {
    RolloutWorld world(false);
    world.m_world.m_traffic.m_behaviour =
        FailsIf([random = std::minstd_rand(3), rate](const FakeCall&) mutable {
          return std::bernoulli_distribution(rate)(random);
        });
    world.ExpectRolledBack();
  }
}

// A slow version has no failures at all.
TEST(RolloutSystemTest, AVersionThatTakesSeveralTimesAsLongIsRolledBack) {
  for (const double slow_part : {1.0, 0.4}) {
    RolloutWorld world(false);
    world.m_world.m_traffic.m_behaviour =
        [random = std::minstd_rand(3),
         slow_part](const FakeCall& call) mutable {
          const bool slow = call.m_version == "v2" &&
                            std::bernoulli_distribution(slow_part)(random);
          return FakeResponse{AttemptResult::kGood,
                              slow ? milliseconds(250) : milliseconds(60)};
        };
    world.ExpectRolledBack();
  }
}

// Ordinary failures and spread latencies of both versions must not be taken for
// a fault of the new one.
TEST(RolloutSystemTest, ANoisyGoodVersionIsCompleted) {
  for (const uint32_t seed : {1, 2, 3, 4, 5, 6}) {
    RolloutWorld world(false);
    world.m_world.m_traffic.m_behaviour =
        [random = std::minstd_rand(seed)](const FakeCall&) mutable {
          FakeResponse response;
          if (std::bernoulli_distribution(0.03)(random)) {
            response.m_result = AttemptResult::kFailed;
          }
          std::lognormal_distribution<double> latency(-3, 0.7);
          response.m_latency = FromSeconds(latency(random));
          return response;
        };
    world.ExpectCompleted();
  }
}

// One server of the new version ends with requests on their way.
TEST(RolloutSystemTest, ABurstOfLostResponsesIsNotTakenForAFault) {
  RolloutWorld world(false, 5, 400);
  world.m_world.m_traffic.m_behaviour = FailsIf([](const FakeCall& call) {
    return call.m_since_start > seconds(20) &&
           call.m_since_start < milliseconds(20500);
  });
  world.ExpectCompleted();
}

// The next leader must go on from the stored step, without the counts of the
// one before.
TEST(RolloutSystemTest, ALeaderLostAtAnyStepDoesNotStopTheRollout) {
  for (const int lost_after : {1, 4, 20, 38, 40, 43}) {
    for (const bool good : {true, false}) {
      RolloutWorld world(false);
      if (!good) {
        world.m_world.m_traffic.m_behaviour =
            FailsIf([lost_after](const FakeCall& call) {
              return call.m_since_start > seconds(lost_after + 1);
            });
      }
      world.m_world.Run(seconds(lost_after));
      world.m_world.Kill(world.m_world.Leader());
      if (good) {
        world.ExpectCompleted();
      } else {
        world.ExpectRolledBack();
      }
    }
  }
}

// Without the store no step can be recorded, but a bad version must be left.
TEST(RolloutSystemTest, ABadVersionIsLeftDuringAStoreOutage) {
  for (const bool sharded : {false, true}) {
    RolloutWorld world(sharded);
    world.m_world.m_traffic.m_behaviour = FailsIf(
        [](const FakeCall& call) { return call.m_since_start > seconds(21); });
    world.m_world.Run(seconds(18));
    world.m_world.m_store_down = true;
    world.m_world.Run(seconds(10));
    if (!sharded) {  // keys cannot move while the store is out
      EXPECT_LE(world.m_world.m_traffic.m_last_target_at,
                world.m_world.m_now - seconds(5));
    }
    world.m_world.m_store_down = false;
    world.ExpectRolledBack();
  }
}

TEST(RolloutSystemTest, AGoodVersionIsCompletedAfterAStoreOutage) {
  RolloutWorld world(false);
  world.m_world.Run(seconds(30));
  world.m_world.m_store_down = true;
  world.m_world.Run(seconds(8));
  world.m_world.m_store_down = false;
  world.ExpectCompleted();
}

// Leader, hosts and servers that start later must not use a rejected version.
TEST(RolloutSystemTest, ARollbackOutlastsRestartsOfHostsAndServers) {
  RolloutWorld world(false);
  world.m_world.m_traffic.m_behaviour =
      FailsIf([](const FakeCall&) { return true; });
  world.ExpectRolledBack();
  const size_t sent = world.m_world.m_traffic.m_target_requests;
  world.m_world.RestartServer(kServers, "late-v2");
  world.m_world.RegisterServer(kServers);
  for (size_t host = 0; host < world.m_world.m_hosts.size(); ++host) {
    world.m_world.Kill(host);
    world.m_world.Start(host);
    world.m_world.Run(seconds(3));
  }
  EXPECT_EQ(world.m_world.m_traffic.m_target_requests, sent);
}

// A host that has the order but not the record must not guess a share.
TEST(RolloutSystemTest, AHostWithoutTheRecordSendsNothingToTheTarget) {
  RolloutRow row;
  row.m_order = RolloutOrder{"s", "v2", kPeriod, 5};
  EXPECT_EQ(BuildRoutedRollout(row)->m_share, 0);
  EXPECT_EQ(BuildRoutedRollout(row)->GroupOf("v2"), VersionGroup::kTarget);
  row.m_record.emplace();
  row.m_record->m_target = "v2";
  row.m_record->m_order = 5;
  row.m_record->m_share = 0.5;
  EXPECT_EQ(BuildRoutedRollout(row)->m_share, 0.5);
  row.m_order->m_target = "v3";
  row.m_order->m_number = 6;
  EXPECT_EQ(BuildRoutedRollout(row)->m_share, 0);
}

// The second order must not inherit the share of the first.
TEST(RolloutSystemTest, AnOrderForAnotherVersionReplacesTheFirst) {
  RolloutWorld world(false);
  world.m_world.Run(seconds(30));
  for (size_t i = kServers; i < kServers + 4; ++i) {
    world.m_world.m_servers[i].m_software_version = "v3";
    world.m_world.RegisterServer(i);
  }
  world.m_world.m_traffic.m_target = "v3";
  world.m_world.m_traffic.m_target_requests = 0;
  world.Order("v3");
  world.m_world.Run(seconds(2));
  EXPECT_EQ(world.Status(), "running v3");
  EXPECT_LT(world.m_world.m_traffic.m_target_requests, 20U);
  world.RunPeriod();
  EXPECT_EQ(world.Status(), "completed v3");
}

// The row that repeated the order had a higher number than the record, so the
// rollout began again as soon as it had ended.
TEST(RolloutSystemTest, AnOrderRepeatedWhileItRunsIsNoOtherOrder) {
  RolloutWorld world(false);
  world.m_world.Run(seconds(10));
  GatewayTables& tables = world.m_world.m_hosts[0].m_tables;
  const RolloutRecord record = *FindRow(tables, world.m_service)->m_record;
  world.m_world.OrderRollout(world.m_service, "v2", kPeriod);
  world.ExpectCompleted();
  EXPECT_EQ(FindRow(tables, world.m_service)->m_record->m_order,
            record.m_order);
}

/// When the copy of the store is taken, in seconds after the order.
class RolloutCopyTest : public testing::TestWithParam<int> {
 protected:
  // Runs the order's period, with a copy taken meanwhile, and restores it.
  static void RunAndRestore(RolloutWorld& world) {
    if (GetParam() < 0) {
      world.m_world.RemoveRolloutOrder(world.m_service);
      world.m_world.TakeCopy();
      world.Order("v2");
    } else {
      world.m_world.Run(seconds(GetParam()));
      world.m_world.TakeCopy();
    }
    world.RunPeriod();
    world.m_world.RestoreCopy();
  }

  // Lets operators write the order again twice, as if a response was lost.
  static void WriteAgain(RolloutWorld& world) {
    for (int i = 0; i < 2; ++i) {
      world.m_world.Run(seconds(2));
      world.m_world.WriteRowsAgain();
    }
    world.m_world.Run(seconds(80));
  }

  static void RestartAllHosts(RolloutWorld& world) {
    for (size_t host = 0; host < world.m_world.m_hosts.size(); ++host) {
      world.m_world.Kill(host);
      world.m_world.Start(host);
      world.m_world.Run(seconds(4));
    }
  }
};

// The copy shows the rollout as running or as not ordered, and the operators'
// row has another number than before.
TEST_P(RolloutCopyTest, ARolledBackVersionStaysOut) {
  RolloutWorld world(false);
  world.m_world.m_traffic.m_behaviour =
      FailsIf([](const FakeCall&) { return true; });
  RunAndRestore(world);
  const size_t sent = world.m_world.m_traffic.m_target_requests;
  EXPECT_GT(sent, 0U);
  WriteAgain(world);
  EXPECT_EQ(world.Status(), "rolled_back v2");
  RestartAllHosts(world);
  EXPECT_EQ(world.Status(), "rolled_back v2");
  EXPECT_EQ(world.m_world.m_traffic.m_target_requests, sent);
  world.Order("v2");
  world.m_world.Run(seconds(1));
  EXPECT_EQ(world.Status(), "running v2");
}

// The old servers stop once the operators have read that it is completed.
TEST_P(RolloutCopyTest, ACompletedRolloutStaysCompleted) {
  RolloutWorld world(false);
  RunAndRestore(world);
  WriteAgain(world);
  EXPECT_EQ(world.Status(), "completed v2");
  RestartAllHosts(world);
  EXPECT_EQ(world.Status(), "completed v2");
  EXPECT_EQ(world.m_world.m_traffic.m_sent_to_stopped, 0U);
}

INSTANTIATE_TEST_SUITE_P(Times,
                         RolloutCopyTest,
                         testing::Values(-1, 0, 1, 10, 30, 59));

// The leader knows later steps than the copy holds.
TEST(RolloutEraTest, ARunningRolloutGoesOnFromItsStep) {
  for (const bool good : {true, false}) {
    RolloutWorld world(false);
    if (!good) {
      world.m_world.m_traffic.m_behaviour = FailsIf([](const FakeCall& call) {
        return call.m_since_start > seconds(31);
      });
    }
    world.m_world.Run(seconds(10));
    world.m_world.TakeCopy();
    world.m_world.Run(seconds(20));
    const RolloutRecord before =
        *FindRow(world.m_world.m_hosts[0].m_tables, world.m_service)->m_record;
    world.m_world.RestoreCopy();
    for (int i = 0; i < 100; ++i) {
      world.m_world.Run(milliseconds(100));
      for (FakeHost& host : world.m_world.m_hosts) {
        const RolloutRecord& record =
            *FindRow(host.m_tables, world.m_service)->m_record;
        EXPECT_EQ(record.m_order, before.m_order) << i;
        EXPECT_GE(record.m_step, before.m_step) << i;
      }
      if (i == 15) {
        world.m_world.WriteRowsAgain();
      }
    }
    if (good) {
      world.ExpectCompleted();
    } else {
      world.ExpectRolledBack();
    }
  }
}

// The rollback is in neither the copy nor the memory of the next leader.
TEST(RolloutEraTest, ARollbackThatOneMemberKnowsIsKept) {
  RolloutWorld world(false);
  world.m_world.m_traffic.m_behaviour = FailsIf(
      [](const FakeCall& call) { return call.m_since_start > seconds(5); });
  world.m_world.Run(seconds(3));
  world.m_world.TakeCopy();
  world.m_world.Run(seconds(17));
  ASSERT_EQ(world.Status(), "rolled_back v2");
  const size_t survivor = world.m_world.Leader() == 0 ? 1 : 0;
  world.m_world.m_hosts[survivor].m_tables.m_self.m_processor_share = 0.1;
  world.m_world.Run(seconds(1));
  for (size_t host = 0; host < world.m_world.m_hosts.size(); ++host) {
    if (host != survivor) {
      world.m_world.Kill(host);
      world.m_world.Start(host);
    }
  }
  world.m_world.RestoreCopy();
  world.m_world.Run(seconds(6));
  EXPECT_NE(world.m_world.Leader(), survivor);
  EXPECT_EQ(world.Status(), "rolled_back v2");
  const size_t sent = world.m_world.m_traffic.m_target_requests;
  world.m_world.WriteRowsAgain();
  world.m_world.Run(seconds(30));
  EXPECT_EQ(world.Status(), "rolled_back v2");
  EXPECT_EQ(world.m_world.m_traffic.m_target_requests, sent);
}

// The copy holds the order before, and was lost with the record of the last.
TEST(RolloutEraTest, AReplacedOrderIsNotFollowedAgain) {
  for (const bool restarted : {false, true}) {
    RolloutWorld world(false);
    world.RunPeriod();
    ASSERT_EQ(world.Status(), "completed v2");
    for (size_t i = 0; i < kServers; ++i) {
      world.m_world.m_servers[i].m_software_version = "v3";
      world.m_world.RegisterServer(i);
    }
    world.m_world.TakeCopy();
    world.Order("v3");
    world.m_world.Run(seconds(20));
    ASSERT_EQ(world.Status(), "running v3");
    world.m_world.RestoreCopy();
    world.m_world.Run(seconds(4));
    EXPECT_EQ(world.Status(), "running v3");
    if (restarted) {
      for (size_t host = 0; host < 3; ++host) {
        world.m_world.Kill(host);
        world.m_world.Start(host);
        world.m_world.Run(seconds(4));
        EXPECT_EQ(world.Status(), "running v3");
      }
    }
    world.m_world.WriteRowsAgain();
    world.RunPeriod();
    EXPECT_EQ(world.Status(), "completed v3");
  }
}

// The copy brings back an order that operators had withdrawn.
TEST(RolloutEraTest, AWithdrawnOrderStaysWithdrawn) {
  RolloutWorld world(false);
  world.m_world.Run(seconds(10));
  world.m_world.TakeCopy();
  world.m_world.RemoveRolloutOrder(world.m_service);
  world.m_world.Run(seconds(1));
  world.m_world.RestoreCopy();
  for (int i = 0; i < 50; ++i) {
    world.m_world.Run(seconds(1));
    for (FakeHost& host : world.m_world.m_hosts) {
      EXPECT_FALSE(FindRollout(host.m_tables, world.m_service)) << i;
    }
  }
  world.Order("v2");
  world.ExpectCompleted();
}

// Without the time limit an order that was new when the store came back, and
// was read with the copy, would never be followed.
TEST(RolloutEraTest, AnOrderReadWithTheCopyIsFollowedInTheEnd) {
  RolloutWorld world(false);
  world.RunPeriod();
  for (size_t i = 0; i < kServers; ++i) {
    world.m_world.m_servers[i].m_software_version = "v3";
    world.m_world.RegisterServer(i);
  }
  world.m_world.TakeCopy();
  world.m_world.Run(seconds(5));
  world.m_world.RestoreCopy();
  world.Order("v3");
  world.m_world.Run(seconds(50));
  EXPECT_EQ(world.Status(), "completed v2");
  world.m_world.Run(seconds(80));
  EXPECT_EQ(world.Status(), "completed v3");
}

// A late write of the era before replaces the state if its version was given
// out again.
TEST(RolloutEraTest, ALateWriteOfTheStateIsReplaced) {
  RolloutWorld world(false);
  world.m_world.TakeCopy();
  world.RunPeriod();
  world.m_world.RestoreCopy();
  world.m_world.Run(seconds(4));
  ASSERT_EQ(world.Status(), "completed v2");
  world.m_world.OverwriteRolloutStatus(world.m_service, "running v2");
  world.m_world.Run(seconds(8));
  EXPECT_EQ(world.Status(), "completed v2");
}

// Many hosts with few requests each: the sum must keep the share.
TEST(RolloutSystemTest, EightyHostsTogetherKeepTheExposure) {
  RolloutWorld world(false, 80, 100);
  world.m_world.m_traffic.m_behaviour =
      FailsIf([](const FakeCall& call) { return call.m_at_version > 4; });
  world.ExpectRolledBack();
}

// Without an order, the gateways must call the store as often as before.
TEST(RolloutSystemTest, NothingIsStoredWithoutAnOrder) {
  GatewayWorld world(3, 4);
  world.Run(seconds(5));
  for (const FakeHost& host : world.m_hosts) {
    EXPECT_EQ(host.m_tables.m_rollouts.size(), 0U);
    EXPECT_TRUE(host.m_rollout_host->m_meter.Collect().empty());
  }
}

}  // namespace
}  // namespace foxtail
