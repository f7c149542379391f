#include "gateway/equal_share_limiter.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RoutedWorkspace Workspace(double rate) {
  RoutedWorkspace workspace;
  workspace.m_name = "club";
  workspace.m_rate = rate;
  workspace.m_burst = rate;
  return workspace;
}

TEST(EqualShareTest, SharesAddUpToTheRateAndToPartOfTheBurst) {
  for (const double rate : {3.0, 20.0, 400.0}) {
    for (const size_t members : {1U, 10U, 75U}) {
      EqualShare sum;
      for (size_t index = 0; index < members; ++index) {
        const EqualShare share =
            ComputeEqualShare(Workspace(rate), {members, index});
        sum.m_rate += share.m_rate;
        sum.m_burst += share.m_burst;
      }
      EXPECT_NEAR(sum.m_rate, rate, 1e-6);
      EXPECT_NEAR(sum.m_burst, ComputeSharesBurst(Workspace(rate), members),
                  1e-6);
      EXPECT_LT(sum.m_burst, rate);
    }
  }
}

TEST(EqualShareTest, AHostThatIsNotRegisteredHasNoShare) {
  EqualShareLimiter limiter;
  EXPECT_FALSE(limiter.TryAcquire(Workspace(400), {}, ShareUse::kUseReserve,
                                  TimePoint(seconds(100))));
}

TEST(EqualShareTest, PartOfTheBurstIsKeptForTimesWithoutTheLeader) {
  EqualShareLimiter limiter;
  const TimePoint now(seconds(100));
  const auto acquire_all = [&](ShareUse use) {
    size_t count = 0;
    while (limiter.TryAcquire(Workspace(400), {10, 0}, use, now)) {
      ++count;
    }
    return count;
  };
  const size_t first = acquire_all(ShareUse::kKeepReserve);
  const size_t last = acquire_all(ShareUse::kUseReserve);
  EXPECT_GT(first, 0U);
  EXPECT_GT(last, 0U);
  EXPECT_EQ(static_cast<double>(first + last),
            ComputeSharesBurst(Workspace(400), 10) / 10);
}

// With many hosts, a token in stock at each of them would exceed the burst.
TEST(EqualShareTest, ShareBelowOneTokenAccruesOnlyWithoutTheLeader) {
  EqualShareLimiter limiter;
  const RoutedWorkspace workspace = Workspace(1);
  const MemberPosition position{10, 0};
  TimePoint now(seconds(100));
  const auto acquire = [&] {
    return limiter.TryAcquire(workspace, position, ShareUse::kUseReserve, now);
  };
  EXPECT_FALSE(acquire());
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(400);
    limiter.OnLeaderAnswer(now);
    EXPECT_FALSE(acquire()) << i;
  }
  now += seconds(10);
  EXPECT_TRUE(acquire());
}

TEST(EqualShareTest, UseIsReportedUntilItIsCharged) {
  EqualShareLimiter limiter;
  const TimePoint now(seconds(100));
  ASSERT_TRUE(
      limiter.TryAcquire(Workspace(400), {10, 0}, ShareUse::kUseReserve, now));
  for (int i = 0; i < 2; ++i) {
    std::vector<TokenDemand> demands;
    limiter.AddUse(demands, now);
    ASSERT_EQ(demands.size(), 1U);
    EXPECT_EQ(demands[0].m_share_used, 1);
    EXPECT_EQ(demands[0].m_share_uncharged, 1);
    EXPECT_EQ(demands[0].m_share_stock,
              ComputeSharesBurst(Workspace(400), 10) / 10 - 1);
  }
  limiter.OnUseCharged("club", 1);
  std::vector<TokenDemand> demands;
  limiter.AddUse(demands, now);
  EXPECT_EQ(demands.size(), 1U) << "the share is not full yet";
  demands.clear();
  limiter.AddUse(demands, now + seconds(1));
  EXPECT_TRUE(demands.empty());
}

}  // namespace
}  // namespace foxtail
