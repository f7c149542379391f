#include "traffic/token_issuer.h"

#include <gtest/gtest.h>

#include <array>

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 100;
constexpr double kBurst = 100;
const DispatcherIdentity host_a{"a", "1"};

// An issuer with two hosts that hold a quarter of the burst each.
class TokenIssuerTest : public testing::Test {
 protected:
  TokenIssuerTest() { m_issuer.Begin(m_start); }

  TokenGrant Serve(const TokenDemand& demand,
                   Duration elapsed,
                   const DispatcherIdentity& host = host_a) {
    TokenLimit limit{"club", kRate, kBurst, elapsed, m_holders, m_shares_burst};
    ShareChargeTerms terms;
    terms.m_reported_at = m_start + elapsed;
    return m_issuer.Serve(limit, host, demand, terms, m_start + elapsed);
  }

  TokenDemand ShareUse(int64_t used, int64_t uncharged, double stock) {
    TokenDemand demand;
    demand.m_share_used = used;
    demand.m_share_uncharged = uncharged;
    demand.m_share_stock = stock;
    return demand;
  }

  // Returns how many tokens waiting requests would be granted.
  double Available(Duration elapsed, TokenDemand demand) {
    demand.m_requested = 1000;
    demand.m_waiting = 1000;
    return Serve(demand, elapsed).m_tokens;
  }

  const TimePoint m_start{seconds(100)};
  std::array<ShareHolder, 2> m_holders = {ShareHolder{"a", 0.5, {}},
                                          ShareHolder{"b", 0.5, {}}};
  double m_shares_burst = kBurst / 2;
  TokenIssuer m_issuer{milliseconds(1100)};
};

TEST_F(TokenIssuerTest, KeepsWhatHostsMayHaveUsedOfTheirShares) {
  EXPECT_EQ(Available(seconds(10), ShareUse(0, 0, 25)), kBurst / 2);
}

TEST_F(TokenIssuerTest, IssuesMoreWhenSharesAreKnownToBeEmpty) {
  EXPECT_EQ(Available(seconds(10), ShareUse(0, 0, 0)), kBurst * 3 / 4);
}

TEST_F(TokenIssuerTest, KeepsMoreTheOlderAReportIs) {
  m_holders[1].m_unreported_for = milliseconds(400);
  EXPECT_EQ(Available(seconds(10), ShareUse(0, 0, 25)),
            kBurst / 2 - kRate / 2 * 0.4);
}

TEST_F(TokenIssuerTest, ChargesTheUseOfASharesOnlyOnce) {
  const TokenDemand demand = ShareUse(30, 30, 0);
  EXPECT_EQ(Serve(demand, seconds(10)).m_share_charged, 30);
  // The answer was lost, so the host reports the same use again.
  EXPECT_EQ(Available(seconds(10), demand), kBurst - 30 - kBurst / 4);
}

TEST_F(TokenIssuerTest, ChargesOnlyUnconfirmedUseOfAnUnknownProcess) {
  EXPECT_EQ(Available(seconds(10), ShareUse(500, 10, 0)),
            kBurst - 10 - kBurst / 4);
}

TEST_F(TokenIssuerTest, GivesBackSharesOfRequestsThatDidNotRun) {
  Serve(ShareUse(30, 30, 0), seconds(10));
  EXPECT_EQ(Available(seconds(10), ShareUse(20, 20, 0)),
            kBurst - 20 - kBurst / 4);
}

TEST_F(TokenIssuerTest, ChargeMayExceedTheStock) {
  Serve(ShareUse(150, 150, 0), seconds(10));
  EXPECT_EQ(Available(seconds(10), ShareUse(150, 0, 0)), 0);
  const Duration later = seconds(10) + milliseconds(900);
  EXPECT_EQ(Available(later, ShareUse(150, 0, 0)), 90 - 50 - 25);
}

TEST_F(TokenIssuerTest, RefundedTokensReturnToTheStock) {
  m_holders = {};
  m_shares_burst = 0;
  EXPECT_EQ(Available(seconds(10), {}), kBurst);
  TokenDemand refund;
  refund.m_spent = kBurst;
  refund.m_refunded = 40;
  EXPECT_EQ(Available(seconds(10), refund), 40);
}

TEST_F(TokenIssuerTest, WithheldTokensAreNoDenial) {
  TokenDemand demand;
  demand.m_requested = demand.m_waiting = 60;
  EXPECT_FALSE(Serve(demand, seconds(10)).m_denied);
  EXPECT_TRUE(Serve(demand, seconds(10)).m_denied);
}

// What a share without a burst accrued between two reports, a fraction of a
// token, kept the only token of such a workspace from ever being issued.
TEST(SmallBurstTest, SingleTokenIsIssued) {
  const TimePoint start(seconds(100));
  TokenIssuer issuer(milliseconds(1100));
  issuer.Begin(start);
  const std::array<ShareHolder, 1> holders = {
      ShareHolder{"a", 1, milliseconds(420)}};
  const TokenLimit limit{"club", 1, 1, seconds(10), holders, 0};
  TokenDemand demand;
  demand.m_requested = demand.m_waiting = 1;
  EXPECT_EQ(
      issuer.Serve(limit, host_a, demand, {}, start + seconds(10)).m_tokens, 1);
}

// The fractions that the shares of many hosts accrue between two reports added
// up to the whole stock of a small rate, so the leader issued nothing.
TEST(SmallBurstTest, FractionsOfManySharesAreNotWithheld) {
  constexpr size_t kHosts = 80;
  const TimePoint start(seconds(100));
  TokenIssuer issuer(milliseconds(1100));
  issuer.Begin(start);
  std::vector<std::string> addresses;
  std::vector<ShareHolder> holders;
  for (size_t i = 0; i < kHosts; ++i) {
    addresses.push_back(std::to_string(i));
  }
  for (const std::string& address : addresses) {
    holders.push_back({address, 1.0 / kHosts, seconds(1)});
  }
  const TokenLimit limit{"club", 10, 10, seconds(10), holders, 2};
  TokenDemand demand;
  demand.m_requested = demand.m_waiting = 20;
  const DispatcherIdentity host{"other", "1"};
  EXPECT_EQ(issuer.Serve(limit, host, demand, {}, start + seconds(10)).m_tokens,
            8);
}

}  // namespace
}  // namespace foxtail
