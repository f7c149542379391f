#include "gateway/range_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace foxtail {
namespace {

// Returns servers of equal speed with equal targets.
std::vector<PlannedServer> MakeServers(size_t count) {
  std::vector<PlannedServer> servers;
  for (size_t i = 0; i < count; ++i) {
    servers.push_back({"server-" + std::to_string(i), 2, 0.1,
                       1.0 / static_cast<double>(count)});
  }
  return servers;
}

// Spreads `hot_share` of the requests over the first `slices` slices and the
// rest over the others.
SliceWeights HotPrefix(uint32_t slices, double hot_share, double samples) {
  std::vector<float> rates(kSlices);
  for (uint32_t i = 0; i < kSlices; ++i) {
    rates[i] = static_cast<float>(
        i < slices ? hot_share / slices : (1 - hot_share) / (kSlices - slices));
  }
  return {rates, samples};
}

double LoadOf(const std::vector<PlannedRange>& ranges,
              const std::string& server,
              const SliceWeights& weights) {
  double load = 0;
  for (const PlannedRange& range : ranges) {
    load += range.m_owner == server ? weights.ShareOf(range.m_range) : 0;
  }
  return load;
}

// Expects that the ranges cover every key exactly once, sorted, with owners.
void ExpectCover(const std::vector<PlannedRange>& ranges) {
  uint32_t next = 0;
  for (const PlannedRange& range : ranges) {
    EXPECT_EQ(range.m_range.m_first, next);
    EXPECT_FALSE(range.m_owner.empty());
    next = range.m_range.m_last + 1;
  }
  EXPECT_EQ(next, kShardKeys);
}

TEST(RangePlannerTest, RangesWithoutOwnerAreSpreadByHeadroom) {
  const SliceWeights weights;
  const auto servers = MakeServers(6);
  const auto plan =
      FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, servers, weights);
  ExpectCover(plan);
  for (const PlannedServer& server : servers) {
    EXPECT_NEAR(LoadOf(plan, server.m_id, weights), 1.0 / 6, 0.05);
  }
}

TEST(RangePlannerTest, BalancedPlanStaysUnchanged) {
  const SliceWeights weights;
  const auto servers = MakeServers(6);
  const auto plan =
      FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, servers, weights);
  EXPECT_EQ(FillPlanner().Plan(plan, servers, weights), plan);
  EXPECT_EQ(RebalancePlanner().Plan(plan, servers, weights), plan);
}

TEST(RangePlannerTest, ServerWithoutLoadIsFilled) {
  const SliceWeights weights;
  const auto five =
      FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, MakeServers(5), weights);
  const auto plan = FillPlanner().Plan(five, MakeServers(6), weights);
  ExpectCover(plan);
  EXPECT_GT(LoadOf(plan, "server-5", weights), 0.1);
}

// Regression test: when hundreds of servers registered one by one, each was
// filled by one piece and a single slice, which doubled the number of ranges to
// renew.
TEST(RangePlannerTest, ServersRegisteringOneByOneGetFewRanges) {
  const SliceWeights weights;
  std::vector<PlannedRange> plan = {{{0, kShardKeys - 1}, ""}};
  for (size_t count = 1; count <= 60; ++count) {
    plan = FillPlanner().Plan(plan, MakeServers(count), weights);
  }
  ExpectCover(plan);
  // With hundreds of servers, three ranges per server and 0.25 ms per grant
  // call, a leader with half a core spends a third of it on renewals.
  EXPECT_LE(plan.size(), 3 * 60U);
}

// Adjacent hot keys are all owned by one server. FillPlanner, the baseline,
// moves nothing.
TEST(RangePlannerTest, HotKeysAreMovedOffTheirServer) {
  const auto servers = MakeServers(4);
  const auto start =
      FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, servers, SliceWeights());
  const SliceWeights weights = HotPrefix(512, 0.6, 1000);
  const std::string hot_server = start.front().m_owner;
  const double before = LoadOf(start, hot_server, weights);
  EXPECT_EQ(FillPlanner().Plan(start, servers, weights), start);
  const auto plan = RebalancePlanner().Plan(start, servers, weights);
  ExpectCover(plan);
  EXPECT_LT(LoadOf(plan, hot_server, weights), before * 0.6);
}

// At low demand, 42% of the requests are for 60 adjacent keys, which is more
// than any single server can handle.
TEST(RangePlannerTest, SixtyHotKeysAreSpreadOverSeveralServers) {
  const auto servers = MakeServers(27);
  const auto start =
      FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, servers, SliceWeights());
  const SliceWeights weights = HotPrefix(60 / kKeysPerSlice, 0.42, 300);
  auto plan = start;
  for (int round = 0; round < 3; ++round) {
    plan = RebalancePlanner().Plan(plan, servers, weights);
  }
  ExpectCover(plan);
  double max_load = 0;
  for (const PlannedServer& server : servers) {
    max_load = std::max(max_load, LoadOf(plan, server.m_id, weights));
  }
  EXPECT_LT(max_load, 0.42 / 4);
}

TEST(RangePlannerTest, RandomVariationMovesNothing) {
  const auto servers = MakeServers(20);
  const auto start =
      FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, servers, SliceWeights());
  // One server has twice the equal share, measured by only five requests.
  const SliceWeights weights = HotPrefix(kSlices / 20, 0.1, 5);
  EXPECT_EQ(RebalancePlanner().Plan(start, servers, weights), start);
}

TEST(RangePlannerTest, OneHotSliceMovesToTheLargestTarget) {
  const SliceWeights weights = HotPrefix(1, 0.8, 1000);
  std::vector<PlannedServer> servers = MakeServers(3);
  servers[0].m_target = 0.2;
  servers[1].m_target = 0.2;
  servers[2].m_target = 0.6;
  const std::vector<PlannedRange> start = {
      {{0, kKeysPerSlice - 1}, "server-0"},
      {{kKeysPerSlice, 30'015}, "server-1"},
      {{30'016, kShardKeys - 1}, "server-2"}};
  const auto plan = RebalancePlanner().Plan(start, servers, weights);
  ExpectCover(plan);
  EXPECT_EQ(plan.front().m_owner, "server-2");
}

// 60 adjacent keys with a third of the requests are work for 32 of 100 servers.
// As blocks of 8 keys they overloaded 8 servers, which refused the rest.
TEST(RangePlannerTest, FewHotKeysAreSplitOneByOne) {
  std::vector<float> rates(kSlices, 0.67F / (kSlices - 60));
  std::fill(rates.begin(), rates.begin() + 60, 0.33F / 60);
  const auto servers = MakeServers(100);
  const auto find_most = [&](uint32_t split_keys) {
    const SliceWeights weights(rates, 5000, split_keys);
    std::vector<PlannedRange> ranges =
        FillPlanner().Plan({{{0, kShardKeys - 1}, ""}}, servers, {});
    for (int round = 0; round < 10; ++round) {
      ranges = RebalancePlanner(24).Plan(ranges, servers, weights);
    }
    std::map<std::string, double> loads;
    for (const PlannedRange& range : ranges) {
      loads[range.m_owner] += weights.ShareOf(range.m_range);
    }
    double most = 0;
    for (const auto& [server, load] : loads) {
      most = std::max(most, load);
    }
    return most * 100;  // relative to the mean
  };
  EXPECT_GT(find_most(kCoarseSplitKeys), 3);
  EXPECT_LT(find_most(kFineSplitKeys), 2);
}

}  // namespace
}  // namespace foxtail
