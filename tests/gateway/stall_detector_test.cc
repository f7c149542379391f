#include "gateway/stall_detector.h"

#include <gtest/gtest.h>

#include <vector>

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks a thread at the intervals of the detector.
class StallDetectorTest : public testing::Test {
 protected:
  // Returns the changes within `duration`, in which the thread runs or not.
  std::vector<StallDetector::Change> Run(Duration duration, bool runs) {
    std::vector<StallDetector::Change> changes;
    const TimePoint until = m_now + duration;
    while (m_now < until) {
      m_now += m_detector.GetSettings().m_check_interval;
      m_last_run_at = runs ? m_now - milliseconds(20) : m_last_run_at;
      if (const auto change = m_detector.Check(m_last_run_at, m_now)) {
        changes.push_back(*change);
      }
    }
    return changes;
  }

  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  TimePoint m_last_run_at = m_now;
  StallDetector m_detector;
};

// A thread that went round without a wait left no trace in the log.
TEST_F(StallDetectorTest, AStallIsToldOnceAndSoIsItsEnd) {
  EXPECT_TRUE(Run(seconds(10), true).empty());
  const auto stalled = Run(seconds(20), false);
  ASSERT_EQ(stalled.size(), 1U);
  EXPECT_TRUE(stalled.front().m_stalled);
  EXPECT_GE(stalled.front().m_silence, m_detector.GetSettings().m_threshold);
  const auto resumed = Run(seconds(10), true);
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_FALSE(resumed.front().m_stalled);
  EXPECT_GE(resumed.front().m_silence, seconds(20));
}

// A process that was stopped for a while would report a stall of its own.
TEST_F(StallDetectorTest, AProcessThatStoodStillReportsNoStall) {
  EXPECT_TRUE(Run(seconds(10), true).empty());
  m_now += seconds(30);
  EXPECT_TRUE(Run(seconds(2), false).empty());
  EXPECT_TRUE(Run(seconds(10), true).empty());
}

// A thread that hangs when the process goes on is told all the same.
TEST_F(StallDetectorTest, AThreadThatHangsAfterAStandstillIsTold) {
  EXPECT_TRUE(Run(seconds(10), true).empty());
  m_now += seconds(30);
  EXPECT_EQ(Run(seconds(10), false).size(), 1U);
}

}  // namespace
}  // namespace foxtail
