#include "gateway/member_contact.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kSilence{1300};
constexpr TimePoint kStart{seconds(100)};

Now After(Duration elapsed) {
  return {kStart + elapsed, WallTime(), BootTime(seconds(500) + elapsed)};
}

// The member's boot clock is far from the leader's.
BootTime MemberClock(Duration elapsed) {
  return BootTime(seconds(90'000) + elapsed);
}

// A slow leader takes the reports from its buffer late; what the member has
// used since it sent them is unknown all the same.
TEST(MemberContactTest, TimeInABufferCountsAsUnreported) {
  MemberContact contact;
  contact.OnReport(MemberClock({}), 10, After(milliseconds(2)));
  contact.OnReport(MemberClock(milliseconds(400)), 10,
                   After(milliseconds(902)));
  EXPECT_EQ(contact.UnreportedTime(kStart + milliseconds(902), kSilence),
            milliseconds(500));
}

TEST(MemberContactTest, MemberIsSilentFromItsLastReportOn) {
  MemberContact contact;
  EXPECT_EQ(contact.SilentTime(kStart, kStart + seconds(1), kSilence),
            seconds(1));
  contact.OnReport(MemberClock({}), 10, After({}));
  EXPECT_EQ(contact.SilentTime(kStart, kStart + seconds(1), kSilence),
            Duration(0));
  EXPECT_EQ(contact.SilentTime(kStart, kStart + seconds(2), kSilence),
            milliseconds(700));
  EXPECT_EQ(contact.UnreportedTime(kStart + seconds(2), kSilence), kSilence);
}

TEST(MemberContactTest, ShareIsWhatTheMemberBelieves) {
  MemberContact contact;
  EXPECT_EQ(contact.ShareOfRate(10), 0.1);
  contact.OnReport(MemberClock({}), 8, After({}));
  EXPECT_EQ(contact.ShareOfRate(10), 0.125);
}

TEST(MemberContactTest, AnotherProcessMayHaveAnotherClock) {
  MemberContact contact;
  contact.OnReport(MemberClock({}), 10, After({}));
  contact.OnProcessReplaced();
  contact.OnReport(BootTime(seconds(5)), 10, After(seconds(1)));
  EXPECT_EQ(contact.UnreportedTime(kStart + seconds(1), kSilence), Duration(0));
}

}  // namespace
}  // namespace foxtail
