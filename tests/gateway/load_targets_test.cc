#include "gateway/load_targets.h"

#include <gtest/gtest.h>

#include <numeric>

namespace foxtail {
namespace {

// Returns servers as in a deployment with two slots per server, where two
// thirds are fast and the others take more than twice as long.
std::vector<PlannedServer> MakeUnequalServers() {
  std::vector<PlannedServer> servers;
  for (size_t i = 0; i < 27; ++i) {
    const double seconds = i % 3 == 0 ? 0.24 : 0.1;
    servers.push_back({"server-" + std::to_string(i), 2, seconds, 0});
  }
  return servers;
}

double MeanServiceSeconds(const std::vector<PlannedServer>& servers) {
  double mean = 0;
  for (const PlannedServer& server : servers) {
    mean += server.m_target * server.m_service_seconds;
  }
  return mean;
}

double TotalTarget(const std::vector<PlannedServer>& servers) {
  return std::accumulate(servers.begin(), servers.end(), 0.0,
                         [](double sum, const PlannedServer& server) {
                           return sum + server.m_target;
                         });
}

// Demand is so low that the fast servers could handle all requests. The
// baseline gives every server the same utilization.
TEST(LoadTargetsTest, SlowServersGetSmallSharesAtLowDemand) {
  std::vector<PlannedServer> baseline = MakeUnequalServers();
  CapacityTargets().SetTargets(baseline, 150);
  std::vector<PlannedServer> targets = MakeUnequalServers();
  ResponseTimeTargets().SetTargets(targets, 150);
  EXPECT_NEAR(TotalTarget(baseline), 1, 1e-6);
  EXPECT_NEAR(TotalTarget(targets), 1, 1e-6);
  EXPECT_LT(MeanServiceSeconds(targets), MeanServiceSeconds(baseline) * 0.9);
  EXPECT_LT(targets[0].m_target, baseline[0].m_target / 2);
  EXPECT_GT(targets[0].m_target, 0);
}

// Demand exceeds the capacity of all servers, so only capacity matters.
TEST(LoadTargetsTest, SharesFollowCapacityAtHighDemand) {
  std::vector<PlannedServer> baseline = MakeUnequalServers();
  CapacityTargets().SetTargets(baseline, 1000);
  std::vector<PlannedServer> targets = MakeUnequalServers();
  ResponseTimeTargets().SetTargets(targets, 1000);
  for (size_t i = 0; i < targets.size(); ++i) {
    EXPECT_NEAR(targets[i].m_target, baseline[i].m_target,
                baseline[i].m_target * 0.35);
  }
}

TEST(LoadTargetsTest, TargetsAddUpToOneWithoutDemand) {
  std::vector<PlannedServer> servers = MakeUnequalServers();
  ResponseTimeTargets().SetTargets(servers, 0);
  EXPECT_NEAR(TotalTarget(servers), 1, 1e-6);
}

}  // namespace
}  // namespace foxtail
