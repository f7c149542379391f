#include "timeline/timeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace foxtail {
namespace {

TEST(TimelineTest, EffectIsNeverShownBeforeItsCause) {
  std::istringstream logs(
      R"({"time_ms":1000,"process":"a","sequence":1,"number":401,"event":"plan_confirmed","plan":"p1","version":2}
{"time_ms":400,"process":"b","sequence":7,"number":403,"event":"configuration_in_force","version":2}
{"time_ms":390,"process":"b","sequence":6,"number":310,"event":"server_down","cell":"c","server":"s"}
not an event
)");
  std::vector<TimelineEvent> events;
  EXPECT_EQ(ReadEvents(logs, events), 1U);
  OrderEvents(events);
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events[0].m_name, "server_down");
  EXPECT_EQ(events[1].m_name, "plan_confirmed");
  EXPECT_EQ(events[2].m_name, "configuration_in_force");
}

TEST(TimelineTest, FilterMatchesFieldValues) {
  TimelineEvent event;
  event.m_number = 310;
  event.m_process = "a";
  event.m_fields = {{"server", "catalogue-1"}};
  TimelineFilter filter;
  EXPECT_TRUE(Matches(filter, event));
  filter.m_field_value = "catalogue-1";
  EXPECT_TRUE(Matches(filter, event));
  filter.m_field_value = "catalogue";
  EXPECT_FALSE(Matches(filter, event));
  filter = {};
  filter.m_numbers = {311};
  EXPECT_FALSE(Matches(filter, event));
}

}  // namespace
}  // namespace foxtail
