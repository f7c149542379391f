#include <gtest/gtest.h>

#include "gateway/store_clock.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A response that waited in a buffer was taken for a new one.
TEST(StoreClockTest, ResponseThatIsReadLateIsNotNew) {
  StoreClock clock;
  const BootTime start(seconds(1000));
  clock.Record(start, seconds(50));  // answered at once
  EXPECT_EQ(clock.FindEarliest(seconds(53)), start + seconds(3));
  // A call that takes longer to reach the store tells less.
  clock.Record(start + milliseconds(1000), milliseconds(51400));
  EXPECT_EQ(clock.FindEarliest(seconds(53)), start + seconds(3));
}

// The store's clock begins anew, or drifts.
TEST(StoreClockTest, OldDifferencesAreForgotten) {
  StoreClock clock;
  const BootTime start(seconds(1000));
  clock.Record(start, seconds(50));
  for (int i = 1; i <= 3; ++i) {
    clock.Record(start + seconds(31 * i), seconds(50 + 32 * i));
  }
  EXPECT_EQ(clock.FindEarliest(seconds(146)), start + seconds(94));
}

}  // namespace
}  // namespace foxtail
