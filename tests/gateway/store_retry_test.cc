#include "gateway/store_retry.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

// 83 hosts with three watches each made over a thousand calls a second while
// the store refused all of them.
TEST(StoreRetryTest, HostsInAnOutageMakeFewCalls) {
  size_t calls = 0;
  for (uint32_t host = 0; host < 83; ++host) {
    StoreRetry retry({}, host + 1);
    for (TimePoint now = kStart; now < kStart + seconds(8);
         now += milliseconds(10)) {
      for (int table = 0; table < 3; ++table) {
        if (retry.TakeTry(now)) {
          ++calls;
          retry.OnFailure(now);
        }
      }
    }
  }
  // Three first tries a host, two a second after the delay has grown.
  EXPECT_LE(calls, 83 * 26);
}

// A host that finds the store again late misses changes.
TEST(StoreRetryTest, TriesAtLeastEveryTwoThirdsOfASecond) {
  StoreRetry retry({}, 7);
  TimePoint last = kStart;
  for (int i = 0; i < 50; ++i) {
    retry.OnFailure(last);
    EXPECT_LE(retry.GetNextTry() - last, milliseconds(650));
    last = retry.GetNextTry();
  }
}

// The table that tries must not keep the others waiting once it succeeds.
TEST(StoreRetryTest, AllMayReadAfterASuccess) {
  StoreRetry retry({}, 7);
  retry.OnFailure(kStart);
  EXPECT_FALSE(retry.TakeTry(kStart));
  EXPECT_TRUE(retry.TakeTry(retry.GetNextTry()));
  EXPECT_FALSE(retry.TakeTry(kStart + milliseconds(200)));
  retry.OnSuccess();
  EXPECT_TRUE(retry.TakeTry(kStart));
  EXPECT_TRUE(retry.TakeTry(kStart));
}

}  // namespace
}  // namespace foxtail
