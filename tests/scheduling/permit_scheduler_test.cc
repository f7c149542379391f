#include "scheduling/permit_scheduler.h"

#include <gtest/gtest.h>

#include <set>

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PermitSchedulerTest : public testing::Test {
 protected:
  PermitSchedulerTest() { SetServers({"a"}); }

  void SetServers(const std::vector<std::string>& ids,
                  uint32_t slots = 1,
                  int64_t incarnation = 1) {
    std::vector<SchedulableServer> servers;
    for (const std::string& id : ids) {
      servers.push_back({id, incarnation, "dc", slots, m_cold_until, true});
    }
    m_scheduler.SetServers("svc", servers, m_now);
  }

  PermitRequest MakeRequest(PermitTicket ticket,
                            const std::string& server = "",
                            uint32_t priority = 0) {
    PermitRequest request;
    request.m_ticket = ticket;
    request.m_service = "svc";
    request.m_server = server;
    request.m_data_centre = "dc";
    request.m_priority = priority;
    request.m_time_left = seconds(6);
    request.m_target_left = seconds(2);
    return request;
  }

  PermitRequests MakeMessage(const std::string& host = "h") {
    PermitRequests message;
    message.m_address = host;
    message.m_incarnation = m_incarnation;
    return message;
  }

  /// Delivers a message and returns the last decision on each ticket.
  std::map<PermitTicket, PermitDecision> Deliver(
      const PermitRequests& message) {
    m_scheduler.Receive(message, m_now);
    return Run();
  }

  std::map<PermitTicket, PermitDecision> Run() {
    std::map<PermitTicket, PermitDecision> decisions;
    for (const AddressedDecisions& addressed : m_scheduler.Run(m_now)) {
      for (const PermitDecision& decision : addressed.m_decisions) {
        decisions[decision.m_ticket] = decision;
      }
    }
    return decisions;
  }

  std::map<PermitTicket, PermitDecision> Ask(const PermitRequest& request,
                                             const std::string& host = "h") {
    PermitRequests message = MakeMessage(host);
    message.m_requests = {request};
    return Deliver(message);
  }

  PermitState AskState(PermitTicket ticket,
                       const std::string& server = "",
                       const std::string& host = "h") {
    const auto decisions = Ask(MakeRequest(ticket, server), host);
    return decisions.contains(ticket) ? decisions.at(ticket).m_state
                                      : PermitState::kUnavailable;
  }

  std::map<PermitTicket, PermitDecision> Return(
      PermitTicket ticket,
      PermitEnd end = PermitEnd::kResponded,
      milliseconds latency = milliseconds(400)) {
    PermitRequests message = MakeMessage();
    PermitReturn returned;
    returned.m_ticket = ticket;
    returned.m_end = end;
    returned.m_latency = latency;
    message.m_returns = {returned};
    return Deliver(message);
  }

  /// Lets the scheduler learn that a request takes 400 ms.
  void Measure() {
    for (PermitTicket ticket = 900; ticket < 910; ++ticket) {
      ASSERT_EQ(AskState(ticket), PermitState::kGranted);
      m_now += milliseconds(400);
      Return(ticket);
    }
  }

  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  TimePoint m_cold_until;
  std::string m_incarnation = "1";
  PermitScheduler m_scheduler{PermitSchedulerSettings()};
};

TEST_F(PermitSchedulerTest, UnknownServersAreUnavailable) {
  EXPECT_EQ(AskState(1, "other"), PermitState::kUnavailable);
  PermitRequest request = MakeRequest(2);
  request.m_service = "other";
  EXPECT_EQ(Ask(request)[2].m_state, PermitState::kUnavailable);
  EXPECT_EQ(AskState(3, "a"), PermitState::kGranted);
  EXPECT_EQ(AskState(4, "a"), PermitState::kQueued);
  SetServers({"b"});
  EXPECT_EQ(Run()[4].m_state, PermitState::kUnavailable);
}

// A repeated datagram must not take a second permit or a second place.
TEST_F(PermitSchedulerTest, RepeatedRequestsGetTheSameDecision) {
  EXPECT_EQ(AskState(1), PermitState::kGranted);
  EXPECT_EQ(AskState(1), PermitState::kGranted);
  EXPECT_EQ(AskState(2), PermitState::kQueued);
  EXPECT_EQ(AskState(2), PermitState::kQueued);
  EXPECT_EQ(Return(1)[2].m_state, PermitState::kGranted);
  EXPECT_EQ(AskState(3), PermitState::kQueued);
}

// A late datagram must not take a permit for a request that has ended.
TEST_F(PermitSchedulerTest, EndedTicketsDoNotComeBack) {
  AskState(1);
  AskState(2);
  Return(2, PermitEnd::kNotUsed);
  Return(1);
  EXPECT_EQ(AskState(1), PermitState::kUnavailable);
  EXPECT_EQ(AskState(2), PermitState::kUnavailable);
  Return(3, PermitEnd::kNotUsed);  // overtakes its request
  EXPECT_EQ(AskState(3), PermitState::kUnavailable);
  EXPECT_EQ(AskState(4), PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, CompleteListsEndWhatTheyDoNotName) {
  AskState(1);
  AskState(2);
  AskState(3);
  PermitRequests message = MakeMessage();
  message.m_complete = true;
  message.m_last_ticket = 2;  // written before ticket 3
  message.m_held = {{2, ""}};
  EXPECT_EQ(Deliver(message)[2].m_state, PermitState::kGranted);
  EXPECT_EQ(Return(2)[3].m_state, PermitState::kGranted);
}

// A grant that was lost is repeated when the host still lists the ticket as
// waiting.
TEST_F(PermitSchedulerTest, LostGrantsAreRepeated) {
  AskState(1);
  PermitRequests message = MakeMessage();
  message.m_complete = true;
  message.m_last_ticket = 1;
  message.m_held = {{1, ""}};
  EXPECT_EQ(Deliver(message)[1].m_state, PermitState::kGranted);
}

// A restarted scheduler must not give the slots away a second time.
TEST_F(PermitSchedulerTest, HeldPermitsOfAnEarlierRunCount) {
  PermitRequests message = MakeMessage();
  message.m_complete = true;
  message.m_last_ticket = 7;
  message.m_held = {{7, "a"}};
  Deliver(message);
  EXPECT_EQ(AskState(8), PermitState::kQueued);
  EXPECT_EQ(Return(7)[8].m_state, PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, PermitsOfARestartedHostLastToTheirDeadlines) {
  AskState(1);
  AskState(2);
  m_incarnation = "2";
  EXPECT_EQ(AskState(1), PermitState::kQueued);
  m_incarnation = "1";
  EXPECT_TRUE(Ask(MakeRequest(5)).empty()) << "message of the former run";
  m_incarnation = "2";
  for (int i = 0; i < 13; ++i) {
    m_now += milliseconds(450);
    EXPECT_EQ(AskState(1), PermitState::kQueued);
  }
  m_now += milliseconds(120);
  EXPECT_EQ(AskState(9, "", "other"), PermitState::kQueued);
  m_now += milliseconds(50);
  EXPECT_EQ(Run()[9].m_state, PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, SilentHostsKeepPermitsAndLoseTheirPlaces) {
  AskState(1);
  AskState(2);
  m_now += milliseconds(400);
  Run();
  m_now += milliseconds(400);
  AskState(10, "", "other");
  m_now += milliseconds(400);
  Run();
  EXPECT_EQ(m_scheduler.TakeCounts().at(0).m_abandoned, 1U);
  // The host was frozen and asks again.
  EXPECT_EQ(AskState(2), PermitState::kQueued);
  EXPECT_EQ(Return(1)[10].m_state, PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, NamedServersAreWaitedForAndOthersUsed) {
  SetServers({"a", "b"});
  EXPECT_EQ(AskState(1, "a"), PermitState::kGranted);
  EXPECT_EQ(AskState(2, "a"), PermitState::kQueued);
  EXPECT_EQ(Ask(MakeRequest(3))[3].m_server, "b");
  PermitRequest excluding = MakeRequest(4);
  excluding.m_excluded = {"b"};
  EXPECT_EQ(Ask(excluding)[4].m_state, PermitState::kQueued);
  EXPECT_EQ(Return(3)[4].m_ticket, 0U);
}

TEST_F(PermitSchedulerTest, PausedAndLeavingServersGetNoPermits) {
  AskState(1);
  PermitRequests message = MakeMessage();
  PermitReturn returned;
  returned.m_ticket = 1;
  returned.m_end = PermitEnd::kRefused;
  returned.m_pause = milliseconds(700);
  message.m_returns = {returned};
  Deliver(message);
  EXPECT_EQ(AskState(2), PermitState::kQueued);
  m_now += milliseconds(690);
  EXPECT_TRUE(Run().empty());
  m_now += milliseconds(20);
  EXPECT_EQ(Run()[2].m_state, PermitState::kGranted);
  returned = {};
  returned.m_ticket = 2;
  returned.m_end = PermitEnd::kResponded;
  returned.m_leaving = true;
  message.m_returns = {returned};
  Deliver(message);
  EXPECT_EQ(AskState(3, "a"), PermitState::kQueued);
  EXPECT_EQ(AskState(4), PermitState::kUnavailable);
  SetServers({"a"}, 1, 2);
  EXPECT_EQ(Run()[3].m_state, PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, ColdServersGetHalfTheirSlots) {
  m_cold_until = m_now + seconds(10);
  SetServers({"a"}, 4);
  EXPECT_EQ(AskState(1), PermitState::kGranted);
  EXPECT_EQ(AskState(2), PermitState::kGranted);
  EXPECT_EQ(AskState(3), PermitState::kQueued);
}

// Two schedulers of one server must not both use all of its slots.
TEST_F(PermitSchedulerTest, RequestsOfOtherSendersTakePermits) {
  SetServers({"a"}, 4);
  PermitTicket ticket = 0;
  for (int i = 0; i < 20; ++i) {
    AskState(++ticket);
    m_now += milliseconds(100);
    PermitRequests message = MakeMessage();
    PermitReturn returned;
    returned.m_ticket = ticket;
    returned.m_end = PermitEnd::kResponded;
    returned.m_latency = milliseconds(100);
    returned.m_load = LoadReport{3, 0, 4, std::nullopt};
    message.m_returns = {returned};
    Deliver(message);
  }
  EXPECT_EQ(AskState(101), PermitState::kGranted);
  EXPECT_EQ(AskState(102), PermitState::kGranted);
  EXPECT_EQ(AskState(103), PermitState::kQueued);
}

// The work goes on at a server that has not responded.
TEST_F(PermitSchedulerTest, UnansweredAttemptsCountAsLoad) {
  AskState(1);
  Return(1, PermitEnd::kUnanswered);
  m_now += seconds(1);
  EXPECT_EQ(AskState(2), PermitState::kQueued);
}

// When 200 servers refused a part of their requests for eight seconds, though
// their slots were free, they were closed for most of that time and beyond.
TEST_F(PermitSchedulerTest, RefusalsOfAServerWithAFreeSlotDoNotCloseIt) {
  SetServers({"a"}, 2);
  for (PermitTicket ticket = 1; ticket <= 20; ++ticket) {
    ASSERT_EQ(AskState(ticket, "a"), PermitState::kGranted) << ticket;
    PermitRequests message = MakeMessage();
    message.m_returns.push_back({ticket, PermitEnd::kRefused, milliseconds(1),
                                 LoadReport{0, 0, 2, {}}});
    Deliver(message);
  }
  // A full server is not asked again at once.
  ASSERT_EQ(AskState(21, "a"), PermitState::kGranted);
  PermitRequests message = MakeMessage();
  message.m_returns.push_back({21,
                               PermitEnd::kRefused,
                               milliseconds(1),
                               LoadReport{2, 8, 2, {}},
                               {},
                               false});
  Deliver(message);
  EXPECT_EQ(AskState(22, "a"), PermitState::kQueued);
}

TEST_F(PermitSchedulerTest, HopelessRequestsAreRefusedAtOnce) {
  Measure();
  PermitRequest hopeless = MakeRequest(1);
  hopeless.m_time_left = milliseconds(200);
  EXPECT_EQ(Ask(hopeless)[1].m_state, PermitState::kRefused);
  EXPECT_EQ(Ask(hopeless)[1].m_state, PermitState::kRefused);
  m_now += seconds(6);
  EXPECT_EQ(AskState(2), PermitState::kGranted);
  PermitTicket ticket = 2;
  while (ticket < 100 && AskState(++ticket) == PermitState::kQueued) {
  }
  // Six seconds are enough for 15 requests.
  EXPECT_GT(ticket, 8U);
  EXPECT_LT(ticket, 20U);
}

// Guards against refused clients that come back together.
TEST_F(PermitSchedulerTest, RefusedClientsComeBackAtDifferentTimes) {
  Measure();
  PermitRequests message = MakeMessage();
  for (PermitTicket ticket = 1; ticket <= 200; ++ticket) {
    message.m_requests.push_back(MakeRequest(ticket));
  }
  std::map<int64_t, int> returns_by_interval;
  std::set<int64_t> times;
  int refused = 0;
  for (const auto& [ticket, decision] : Deliver(message)) {
    if (decision.m_state == PermitState::kRefused) {
      ++refused;
      EXPECT_GE(decision.m_retry_after, milliseconds(50));
      EXPECT_LE(decision.m_retry_after, seconds(2));
      ++returns_by_interval[decision.m_retry_after / milliseconds(100)];
      times.insert(decision.m_retry_after.count());
    }
  }
  EXPECT_GT(refused, 150);
  EXPECT_GT(times.size(), 100U);
  for (const auto& [interval, returns] : returns_by_interval) {
    EXPECT_LT(returns, refused / 5) << "interval " << interval;
  }
}

// Guards against permits for requests that come too late anyway while others
// can still be answered in their target.
TEST_F(PermitSchedulerTest, LateRequestsGetWhatIsLeft) {
  Measure();
  AskState(1);
  PermitRequest late = MakeRequest(2);
  late.m_target_left = milliseconds(-100);
  EXPECT_EQ(Ask(late)[2].m_state, PermitState::kQueued);
  EXPECT_EQ(Ask(MakeRequest(3, "", 2))[3].m_state, PermitState::kQueued);
  EXPECT_EQ(Ask(MakeRequest(4, "", 1))[4].m_state, PermitState::kQueued);
  EXPECT_EQ(Return(1)[4].m_state, PermitState::kGranted);
  EXPECT_EQ(Return(4)[3].m_state, PermitState::kGranted);
  EXPECT_EQ(Return(3)[2].m_state, PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, RequestsRefusedBeforeGoFirst) {
  AskState(1);
  AskState(2);
  PermitRequest returning = MakeRequest(3);
  returning.m_returning = true;
  Ask(returning);
  EXPECT_EQ(Return(1)[3].m_state, PermitState::kGranted);
}

TEST_F(PermitSchedulerTest, StoppedSchedulerSendsRequestsAway) {
  AskState(1);
  AskState(2);
  m_scheduler.Stop();
  EXPECT_EQ(Run()[2].m_state, PermitState::kUnavailable);
  EXPECT_EQ(AskState(3), PermitState::kUnavailable);
}

}  // namespace
}  // namespace foxtail
