#include "runtime/pipeline_order.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

constexpr size_t kMaxUnanswered = 3;

TEST(PipelineOrderTest, ReadsAheadUpToTheLimit) {
  PipelineOrder order(kMaxUnanswered);
  for (size_t i = 0; i < kMaxUnanswered; ++i) {
    ASSERT_TRUE(order.CanRead());
    EXPECT_TRUE(order.CanStart(order.OnRead(true)));
  }
  EXPECT_FALSE(order.CanRead());
  order.OnAnswered(0);
  EXPECT_TRUE(order.CanRead());
}

TEST(PipelineOrderTest, ResponsesAreSentInTheOrderOfTheRequests) {
  PipelineOrder order(kMaxUnanswered);
  const auto first = order.OnRead(true);
  const auto second = order.OnRead(true);
  EXPECT_TRUE(order.IsNext(first));
  EXPECT_FALSE(order.IsNext(second));
  order.OnAnswered(first);
  EXPECT_TRUE(order.IsNext(second));
}

// An unsafe request must not run if the connection ends before its turn: its
// client may send it again elsewhere.
TEST(PipelineOrderTest, UnsafeRequestStartsAfterAllEarlierAnswers) {
  PipelineOrder order(kMaxUnanswered);
  const auto first = order.OnRead(true);
  const auto unsafe = order.OnRead(false);
  EXPECT_FALSE(order.CanStart(unsafe));
  EXPECT_FALSE(order.CanRead());
  order.OnAnswered(first);
  EXPECT_TRUE(order.CanStart(unsafe));
  EXPECT_FALSE(order.CanRead());
  order.OnAnswered(unsafe);
  EXPECT_TRUE(order.CanRead());
}

// A stop answers all that was read, and only the last response announces it.
TEST(PipelineOrderTest, OnlyTheLastRequestThatWasReadEndsTheConnection) {
  PipelineOrder order(kMaxUnanswered);
  const auto first = order.OnRead(true);
  const auto second = order.OnRead(true);
  EXPECT_FALSE(order.IsLast(second));
  order.StopReading();
  EXPECT_FALSE(order.CanRead());
  EXPECT_FALSE(order.IsLast(first));
  EXPECT_TRUE(order.IsLast(second));
}

}  // namespace
}  // namespace foxtail
