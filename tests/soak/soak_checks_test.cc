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

SoakExchange ExchangeOf(const std::string& request, int status) {
  return {request, false, "key", kStart, status, "ran " + request};
}

TEST(SoakChecksTest, ValidHistoryHasNoViolations) {
  EXPECT_TRUE(FindViolations({RunOf("a", "s1", 3, seconds(0)),
                              RunOf("b", "s2", 4, seconds(1)),
                              RunOf("c", "s2", 4, seconds(2))},
                             {ExchangeOf("a", 200), ExchangeOf("b", 502),
                              ExchangeOf("c", 0), ExchangeOf("d", 503)},
                             {})
                  .empty());
}

TEST(SoakChecksTest, EachViolationIsFound) {
  const auto count = [](std::vector<SoakRun> runs,
                        const std::vector<SoakExchange>& exchanges,
                        const std::vector<SoakWithdrawal>& withdrawals = {}) {
    return FindViolations(std::move(runs), exchanges, withdrawals).size();
  };
  // A server uses an older grant after another server has used a newer one.
  EXPECT_EQ(
      count({RunOf("a", "s2", 4, seconds(0)), RunOf("b", "s1", 3, seconds(1))},
            {ExchangeOf("a", 200), ExchangeOf("b", 200)}),
      1U);
  // A non-idempotent request runs twice.
  EXPECT_EQ(
      count({RunOf("a", "s1", 3, seconds(0)), RunOf("a", "s1", 3, seconds(1))},
            {ExchangeOf("a", 200)}),
      1U);
  // A request runs although the response says that it did not.
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(0))}, {ExchangeOf("a", 503)}),
            1U);
  // A response that belongs to another request, and a success without a run.
  SoakExchange mixed = ExchangeOf("a", 200);
  mixed.m_body = "ran b";
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(0))}, {mixed}), 1U);
  EXPECT_EQ(count({}, {ExchangeOf("a", 200)}), 1U);
  // A run that no client requested, and an API key that reaches a server.
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(0))}, {}), 1U);
  SoakRun leaked = RunOf("a", "s1", 3, seconds(0));
  leaked.m_received_api_key = true;
  EXPECT_EQ(count({leaked}, {ExchangeOf("a", 200)}), 1U);
  // A run with an API key that was withdrawn 6 s before.
  SoakExchange late = ExchangeOf("a", 200);
  late.m_sent_at = kStart + seconds(6);
  EXPECT_EQ(count({RunOf("a", "s1", 3, seconds(6))}, {late}, {{"key", kStart}}),
            1U);
}

}  // namespace
}  // namespace foxtail
