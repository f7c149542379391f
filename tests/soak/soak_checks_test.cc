#include "soak/soak_checks.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);

SoakRun RunOf(const std::string& request,
              const std::string& server,
              uint64_t fence,
              seconds at) {
  return {kStart + at, server, request, 5, fence, false, "w"};
}

SoakOutcome OutcomeOf(const std::string& request, int status) {
  return {request, false, "key", kStart, status, "ran " + request};
}

TEST(SoakChecksTest, WhatIsAllowedBreaksNothing) {
  EXPECT_TRUE(FindBrokenPromises({RunOf("a", "s1", 3, seconds(0)),
                                  RunOf("b", "s2", 4, seconds(1)),
                                  RunOf("c", "s2", 4, seconds(2))},
                                 {OutcomeOf("a", 200), OutcomeOf("b", 502),
                                  OutcomeOf("c", 0), OutcomeOf("d", 503)},
                                 {})
                  .empty());
}

TEST(SoakChecksTest, EachBrokenPromiseIsFound) {
  const auto count = [](std::vector<SoakRun> runs,
                        const std::vector<SoakOutcome>& outcomes,
                        const std::vector<SoakWithdrawal>& withdrawals = {}) {
    return FindBrokenPromises(std::move(runs), outcomes, withdrawals).size();
  };
  // An older right used after a newer one at another server.
  EXPECT_EQ(
      count({RunOf("a", "s2", 4, seconds(0)), RunOf("b", "s1", 3, seconds(1))},
            {OutcomeOf("a", 200), OutcomeOf("b", 200)}),
      1U);
  // Twice.
  EXPECT_EQ(
      count({RunOf("a", "s1", 3, seconds(0)), RunOf("a", "s1", 3, seconds(1))},
            {OutcomeOf("a", 200)}),
      1U);
  // Refused as not run, and run.
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(0))}, {OutcomeOf("a", 503)}),
            1U);
  // Another request's answer, and one without a run.
  SoakOutcome mixed = OutcomeOf("a", 200);
  mixed.m_body = "ran b";
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(0))}, {mixed}), 1U);
  EXPECT_EQ(count({}, {OutcomeOf("a", 200)}), 1U);
  // A run that nobody asked for, an API key at a server.
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(0))}, {}), 1U);
  SoakRun leaked = RunOf("a", "s1", 3, seconds(0));
  leaked.m_saw_api_key = true;
  EXPECT_EQ(count({leaked}, {OutcomeOf("a", 200)}), 1U);
  // A withdrawn API key.
  SoakOutcome late = OutcomeOf("a", 200);
  late.m_sent = kStart + seconds(6);
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(6))}, {late}, {{"key", kStart}}),
            1U);
}

}  // namespace
}  // namespace foxtail
