#include <gtest/gtest.h>

#include "gateway/outage_detector.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

TEST(OutageDetectorTest, TimeWithoutAnswersIsAnOutage) {
  OutageDetector detector;
  EXPECT_FALSE(detector.OnAnswer(kStart));
  detector.OnFailure();
  EXPECT_TRUE(detector.OnAnswer(kStart + seconds(3)));
  EXPECT_FALSE(detector.OnAnswer(kStart + seconds(4)));
}

// One second of refusals for one host counted as an outage of the store.
TEST(OutageDetectorTest, ShortFailureIsNoOutage) {
  OutageDetector detector;
  detector.OnAnswer(kStart);
  detector.OnFailure();
  EXPECT_FALSE(detector.OnAnswer(kStart + milliseconds(1200)));
}

TEST(OutageDetectorTest, AnswersToOthersShowThatThereIsNoOutage) {
  OutageDetector detector;
  detector.OnAnswer(kStart);
  for (int i = 1; i <= 7; ++i) {
    detector.OnFailure();
    EXPECT_FALSE(detector.OnAnswer(kStart + seconds(i)));
  }
}

// Others reach the store again sooner than this process.
TEST(OutageDetectorTest, OutageEndsWithTheFirstAnswerToAnyone) {
  OutageDetector detector;
  detector.OnAnswer(kStart);
  detector.OnFailure();
  EXPECT_TRUE(detector.OnAnswer(kStart + seconds(3)));
  detector.OnFailure();
  EXPECT_FALSE(detector.OnAnswer(kStart + milliseconds(3400)));
}

TEST(OutageDetectorTest, SilenceWithoutAFailureIsNoOutage) {
  OutageDetector detector;
  detector.OnAnswer(kStart);
  EXPECT_FALSE(detector.OnAnswer(kStart + seconds(20)));
  EXPECT_FALSE(detector.OnAnswer(kStart + seconds(10)));  // a late report
}

}  // namespace
}  // namespace foxtail
