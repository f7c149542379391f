#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <random>

#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 10;
constexpr double kRate = 300;
constexpr seconds kWindow{5};

// The most that the rate and the burst allow in a window, without tolerance.
constexpr double kMostInWindow = kRate * 5 + kRate;

// Each host receives this many times its equal share of the rate; several
// times the rate in total, or unevenly distributed below it.
constexpr double kFarAboveRate = 5;
constexpr std::array<double, kHosts> kUnevenlyBelowRate = {
    0.2, 0.3, 0.4, 0.5, 0.6, 0.6, 0.7, 0.8, 0.9, 1.2};

/// Trouble that begins two seconds after the workspace exceeds its rate.
struct RateTrouble {
  std::string m_name;
  std::function<void(GatewayWorld&)> m_begin;
};

std::ostream& operator<<(std::ostream& out, const RateTrouble& trouble) {
  return out << trouble.m_name;
}

void DelayLeader(GatewayWorld& world, Duration delay) {
  world.m_hosts[world.Leader()].m_datagram_delay = delay;
}

const std::vector<RateTrouble>& Troubles() {
  static const std::vector<RateTrouble> troubles = {
      {"None", [](GatewayWorld&) {}},
      {"LeaderSlightlySlow",
       [](GatewayWorld& world) { DelayLeader(world, milliseconds(40)); }},
      {"LeaderSlow",
       [](GatewayWorld& world) { DelayLeader(world, milliseconds(150)); }},
      {"LeaderVerySlow",
       [](GatewayWorld& world) { DelayLeader(world, milliseconds(450)); }},
      {"LeaderAlmostSilent",
       [](GatewayWorld& world) { DelayLeader(world, milliseconds(1500)); }},
      {"LeaderKilled", [](GatewayWorld& world) { world.Kill(world.Leader()); }},
      {"LeaderLosesTheStore",
       [](GatewayWorld& world) {
         world.m_hosts[world.Leader()].m_store_unreachable = true;
       }},
      {"LeaderShutsDown",
       [](GatewayWorld& world) {
         GatewayTables& tables = world.m_hosts[world.Leader()].m_tables;
         tables.m_shutting_down = true;
         tables.m_leader_lease.m_next_store_call_at = TimePoint();
       }},
      {"LeaderIsolated",
       [](GatewayWorld& world) {
         world.m_hosts[world.Leader()].m_isolated = true;
       }},
      {"StoreDown", [](GatewayWorld& world) { world.m_store_down = true; }},
      {"DatagramsLost",
       [](GatewayWorld& world) { world.m_lost_datagram_rate = 0.4; }},
      {"HostsIsolated",
       [](GatewayWorld& world) {
         for (size_t i = 1; i <= 4; ++i) {
           world.m_hosts[(world.Leader() + i) % kHosts].m_isolated = true;
         }
       }},
      {"AllHostsRestarted",
       [](GatewayWorld& world) {
         for (size_t host = 0; host < kHosts; ++host) {
           world.Kill(host);
         }
         world.Run(milliseconds(500));
         for (size_t host = 0; host < kHosts; ++host) {
           world.Start(host);
         }
       }},
      {"RequestsTurnedAway",
       [](GatewayWorld& world) {
         for (FakeHost& host : world.m_hosts) {
           host.m_clients->m_turned_away_fraction = 0.5;
         }
       }},
  };
  return troubles;
}

void SetClientRates(GatewayWorld& world, double share) {
  for (size_t host = 0; host < kHosts; ++host) {
    world.SetClientRate(host, kRate / kHosts * share);
  }
}

std::unique_ptr<GatewayWorld> StartWorld() {
  auto world = std::make_unique<GatewayWorld>(kHosts, 6);
  world->SetWorkspaceRate(kRate);
  world->Run(seconds(5));
  return world;
}

class RateLimitTest : public testing::TestWithParam<RateTrouble> {};

TEST_P(RateLimitTest, WorkspaceAboveItsRateDoesNotExceedRateAndBurst) {
  const auto world = StartWorld();
  SetClientRates(*world, kFarAboveRate);
  world->Run(seconds(2));
  GetParam().m_begin(*world);
  world->Run(seconds(10));
  EXPECT_LE(world->m_requests.CountMostRunWithin(kWindow), kMostInWindow);
}

// The burst is still unused when the trouble begins.
TEST_P(RateLimitTest, BurstIsNotDoubledWhenTroubleComesFirst) {
  const auto world = StartWorld();
  GetParam().m_begin(*world);
  world->Run(milliseconds(200));
  SetClientRates(*world, kFarAboveRate);
  world->Run(seconds(10));
  EXPECT_LE(world->m_requests.CountMostRunWithin(kWindow), kMostInWindow);
}

INSTANTIATE_TEST_SUITE_P(Troubles,
                         RateLimitTest,
                         testing::ValuesIn(Troubles()),
                         [](const auto& trouble) {
                           return trouble.param.m_name;
                         });

class RateLimitChaosTest : public testing::TestWithParam<uint32_t> {
 protected:
  // A host that ended starts again in the next round, at the earliest: a
  // process takes longer to be replaced than the burst of its shares takes to
  // accrue.
  void StartEndedHosts() {
    for (size_t host = 0; host < kHosts; ++host) {
      if (!m_world->m_hosts[host].m_up) {
        m_world->Start(host);
      }
    }
  }

  void DisturbHost() {
    constexpr std::array kDelays = {milliseconds(0),   milliseconds(0),
                                    milliseconds(40),  milliseconds(150),
                                    milliseconds(450), milliseconds(1500)};
    const size_t index = m_random() % 3 == 0
                             ? std::min(m_world->Leader(), kHosts - 1)
                             : m_random() % kHosts;
    FakeHost& host = m_world->m_hosts[index];
    host.m_datagram_delay = kDelays.at(m_random() % kDelays.size());
    host.m_isolated = m_random() % 4 == 0;
    host.m_store_unreachable = m_random() % 4 == 0;
    m_world->SetClientRate(
        index, kRate / kHosts * static_cast<double>(m_random() % 10));
    if (m_random() % 5 == 0) {
      m_world->Kill(index);
    }
  }

  std::unique_ptr<GatewayWorld> m_world = StartWorld();
  std::minstd_rand m_random{GetParam()};
};

TEST_P(RateLimitChaosTest, WorkspaceDoesNotExceedRateAndBurst) {
  SetClientRates(*m_world, kFarAboveRate);
  for (int round = 0; round < 30; ++round) {
    for (int i = 0; i < 3; ++i) {
      DisturbHost();
    }
    m_world->m_store_down = m_random() % 8 == 0;
    m_world->m_lost_datagram_rate = m_random() % 3 == 0 ? 0.3 : 0;
    m_world->Run(milliseconds(1000 + m_random() % 1000));
    StartEndedHosts();
  }
  EXPECT_LE(m_world->m_requests.CountMostRunWithin(kWindow), kMostInWindow);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RateLimitChaosTest, testing::Range(1U, 41U));

class RateLimitServiceTest : public testing::TestWithParam<milliseconds> {};

// Callers within their rate must not be refused because the leader is slow.
TEST_P(RateLimitServiceTest, WorkspaceWithinItsRateIsServedWithASlowLeader) {
  const auto world = StartWorld();
  for (size_t host = 0; host < kHosts; ++host) {
    world->SetClientRate(host, kRate / kHosts * kUnevenlyBelowRate[host]);
  }
  world->Run(seconds(2));
  world->m_requests.Clear();
  DelayLeader(*world, GetParam());
  world->Run(seconds(6));
  const auto served = static_cast<double>(world->m_requests.m_run_at.size());
  const auto refused = static_cast<double>(world->m_requests.m_refused);
  EXPECT_LE(refused, 0.02 * (served + refused));
}

INSTANTIATE_TEST_SUITE_P(Delays,
                         RateLimitServiceTest,
                         testing::Values(milliseconds(40),
                                         milliseconds(150),
                                         milliseconds(450),
                                         milliseconds(1500)),
                         [](const auto& delay) {
                           return std::to_string(delay.param.count()) + "ms";
                         });

}  // namespace
}  // namespace foxtail
