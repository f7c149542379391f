#include "gateway/report_schedule.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

using std::chrono::seconds;

// Hosts with waiting requests sent a report every 25 ms however late the
// answers were, which kept a slow leader slow.
TEST(ReportScheduleTest, WaitsForAnAnswerBeforeTheNextEarlyReport) {
  const OwnershipSettings settings;
  ReportSchedule schedule(settings);
  const TimePoint sent(seconds(100));
  schedule.OnReport(sent);
  EXPECT_EQ(schedule.FindNextReport(), sent + settings.m_report_period);
  schedule.OnTokensNeeded();
  EXPECT_EQ(schedule.FindNextReport(), sent + settings.m_report_answer_timeout);
  schedule.OnAnswer(sent - settings.m_report_period);
  EXPECT_EQ(schedule.FindNextReport(), sent + settings.m_report_answer_timeout);
  schedule.OnAnswer(sent);
  EXPECT_EQ(schedule.FindNextReport(), sent + settings.m_min_report_interval);
}

}  // namespace
}  // namespace foxtail
