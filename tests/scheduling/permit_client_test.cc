#include "scheduling/permit_client.h"

#include <gtest/gtest.h>

#include "core/error.h"
#include "scheduling/permit_codec.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSelf = "10.0.0.9:1";
constexpr const char* kFirst = "10.0.0.1:1";
constexpr const char* kSecond = "10.0.0.2:1";

class PermitClientTest : public testing::Test {
 protected:
  PermitTicket Ask() {
    PermitRequest request;
    request.m_service = "billing";
    request.m_server = "billing-01";
    return m_client.Ask(request, m_now + seconds(2), m_now + seconds(1),
                        {kFirst, kSecond}, m_now);
  }

  std::vector<PermitTicket> Decide(const char* scheduler,
                                   PermitTicket ticket,
                                   PermitState state) {
    PermitDecision decision;
    decision.m_ticket = ticket;
    decision.m_state = state;
    decision.m_server = "billing-01";
    return m_client.OnDecisions({scheduler, {decision}}, m_now);
  }

  // Returns the message to a scheduler, or an empty one.
  PermitRequests Collect(const char* scheduler) {
    for (AddressedRequests& due : m_client.CollectMessages(m_now)) {
      if (due.m_address == scheduler) {
        return due.m_message;
      }
    }
    return {};
  }

  TimePoint m_now = TimePoint(std::chrono::hours(1));
  PermitClient m_client{{}, kSelf, "run-1"};
};

// A lost datagram would leave the request waiting until its deadline.
TEST_F(PermitClientTest, RepeatsARequestWithoutAnAnswer) {
  Ask();
  EXPECT_EQ(Collect(kFirst).m_requests.size(), 1);
  EXPECT_EQ(Collect(kFirst).m_requests.size(), 0);
  m_now += milliseconds(100);
  const PermitRequests repeated = Collect(kFirst);
  ASSERT_EQ(repeated.m_requests.size(), 1);
  EXPECT_EQ(repeated.m_requests[0].m_time_left, milliseconds(1900));
}

// A scheduler that has ended would hold the requests that it has queued.
TEST_F(PermitClientTest, PassesOverASchedulerThatFallsSilent) {
  const PermitTicket ticket = Ask();
  Collect(kFirst);
  m_now += milliseconds(10);
  Decide(kFirst, ticket, PermitState::kQueued);
  m_now += milliseconds(400);
  EXPECT_EQ(Collect(kFirst).m_requests.size(), 1);  // repeated with the list
  m_now += milliseconds(250);
  EXPECT_TRUE(m_client.PassOverSilent(m_now).empty());
  EXPECT_EQ(Collect(kSecond).m_requests.size(), 1);
  // Further requests skip it, too, until it has answered again.
  Ask();
  EXPECT_EQ(Collect(kSecond).m_requests.size(), 1);
}

// Without any scheduler the host must go on by its own knowledge.
TEST_F(PermitClientTest, IsUnavailableWhenNoSchedulerAnswers) {
  const PermitTicket ticket = Ask();
  Collect(kFirst);
  m_now += milliseconds(250);
  m_client.PassOverSilent(m_now);
  Collect(kSecond);
  m_now += milliseconds(250);
  EXPECT_EQ(m_client.PassOverSilent(m_now), std::vector{ticket});
  EXPECT_EQ(m_client.GetDecision(ticket).m_state, PermitState::kUnavailable);
}

// A scheduler that stops sends the host to the next one.
TEST_F(PermitClientTest, AsksTheNextSchedulerIfOneDoesNotScheduleTheServer) {
  const PermitTicket ticket = Ask();
  Collect(kFirst);
  EXPECT_TRUE(Decide(kFirst, ticket, PermitState::kUnavailable).empty());
  EXPECT_EQ(Collect(kSecond).m_requests.size(), 1);
  EXPECT_EQ(Decide(kSecond, ticket, PermitState::kGranted),
            std::vector{ticket});
}

// A permit that comes after its request has ended would stay unused until its
// deadline.
TEST_F(PermitClientTest, ReturnsAPermitThatComesTooLate) {
  const PermitTicket ticket = Ask();
  Collect(kFirst);
  m_client.End(ticket, {});
  EXPECT_EQ(Collect(kFirst).m_returns.size(), 1);
  Decide(kFirst, ticket, PermitState::kGranted);
  const PermitRequests message = Collect(kFirst);
  ASSERT_EQ(message.m_returns.size(), 1);
  EXPECT_EQ(message.m_returns[0].m_end, PermitEnd::kNotUsed);
}

// Decisions of a scheduler that was passed over, or repeated ones, must not
// replace the decision that the request acts on.
TEST_F(PermitClientTest, FirstFinalDecisionHolds) {
  const PermitTicket ticket = Ask();
  Collect(kFirst);
  Decide(kFirst, ticket, PermitState::kGranted);
  EXPECT_TRUE(Decide(kFirst, ticket, PermitState::kRefused).empty());
  EXPECT_TRUE(Decide(kSecond, ticket, PermitState::kRefused).empty());
  EXPECT_EQ(m_client.GetDecision(ticket).m_state, PermitState::kGranted);
}

// A lost return is made good by the next list, which names open permits only.
TEST_F(PermitClientTest, ListsWhatIsOpen) {
  const PermitTicket held = Ask();
  const PermitTicket ended = Ask();
  Collect(kFirst);
  Decide(kFirst, held, PermitState::kGranted);
  Decide(kFirst, ended, PermitState::kGranted);
  m_client.End(ended, {});
  Collect(kFirst);
  m_now += milliseconds(400);
  const PermitRequests message = Collect(kFirst);
  ASSERT_TRUE(message.m_complete);
  ASSERT_EQ(message.m_held.size(), 1);
  EXPECT_EQ(message.m_held[0].m_ticket, held);
  EXPECT_EQ(message.m_held[0].m_server, "billing-01");
  EXPECT_EQ(message.m_last_ticket, ended);
}

TEST(PermitCodecTest, MessagesSurviveEncoding) {
  PermitRequests requests;
  requests.m_address = kSelf;
  requests.m_requests.push_back({7,
                                 "billing",
                                 "",
                                 "tejo-1",
                                 2,
                                 1,
                                 milliseconds(900),
                                 milliseconds(-5),
                                 true,
                                 {"billing-02"}});
  requests.m_returns.push_back(
      {3, PermitEnd::kRefused, std::chrono::microseconds(1500),
       LoadReport{2, 5, 2, 1.5}, milliseconds(40), true});
  requests.m_held.push_back({3, "billing-01"});
  const auto decoded = std::get<PermitRequests>(
      DecodePermitMessage(EncodePermitMessage(requests)));
  ASSERT_EQ(decoded.m_requests.size(), 1);
  EXPECT_EQ(decoded.m_requests[0].m_target_left, milliseconds(-5));
  EXPECT_EQ(decoded.m_requests[0].m_excluded,
            std::vector<std::string>{"billing-02"});
  ASSERT_EQ(decoded.m_returns.size(), 1);
  EXPECT_EQ(decoded.m_returns[0].m_load->m_slowdown, 1.5);
  EXPECT_EQ(decoded.m_held[0].m_server, "billing-01");
}

// A damaged datagram must not end the process or be taken for another one.
TEST(PermitCodecTest, RejectsADamagedMessage) {
  std::string bytes = EncodePermitMessage(PermitDecisions{kFirst, {}});
  bytes[1] ^= 1;
  EXPECT_THROW(DecodePermitMessage(bytes), Error);
  EXPECT_THROW(DecodePermitMessage("x"), Error);
}

}  // namespace
}  // namespace foxtail
