#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>

#include "runtime/fiber_scheduler.h"
#include "runtime/http_server.h"
#include "support/fake_request_path.h"
#include "support/raw_server.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A handler, one backend server, and another fiber of the thread.
class RequestHandlerTest : public testing::Test {
 protected:
  RequestHandlerTest()
      : m_server({"127.0.0.1", 0}, HttpServerSettings(), [this](HttpRequest&) {
          HttpResponse response = m_response;
          return response;
        }) {
    m_server.Start();
    auto snapshot = BuildTestSnapshot();
    AddTestServer(*snapshot, "server-1", m_server.GetPort());
    m_path.m_handler->OnSnapshot(std::move(snapshot));
    StartFiber([this, stopped = m_stopped] {
      while (!*stopped) {
        ++m_other_fiber_runs;
        boost::this_fiber::sleep_for(milliseconds(1));
      }
    });
  }

  ~RequestHandlerTest() override {
    *m_stopped = true;
    m_path.m_handler.reset();  // closes its connections
    EXPECT_TRUE(m_server.Stop(seconds(5)));
  }

  HttpResponse Handle() {
    m_path.m_permits.m_calls = 0;
    m_other_fiber_runs = 0;
    return m_path.Handle();
  }

  TestRequestPath m_path;
  HttpResponse m_response;
  HttpServer m_server;
  uint32_t m_other_fiber_runs = 0;
  std::shared_ptr<bool> m_stopped = std::make_shared<bool>(false);
};

// A request whose servers were all leaving went round without a wait, so that
// its thread did nothing else any more.
TEST_F(RequestHandlerTest, RequestWhoseServersAllLeaveIsRefused) {
  m_response.m_headers.Set(kLeavingField, "1");
  EXPECT_EQ(Handle().m_status, 200);
  EXPECT_EQ(Handle().m_status, 503);
  EXPECT_LE(m_path.m_permits.m_calls, 1U);
}

// The same while all servers pause and no scheduler answers: the request kept
// the thread busy until the first pause had ended.
TEST_F(RequestHandlerTest, RequestWhoseServersAllPauseWaitsForTheFirst) {
  m_response.m_headers.Set(kPauseField, "200");
  EXPECT_EQ(Handle().m_status, 200);
  EXPECT_EQ(Handle().m_status, 200);
  EXPECT_LE(m_path.m_permits.m_calls, 2U);
  EXPECT_GT(m_other_fiber_runs, 0U);
}

// A request for a service without keys and without servers waited 0.7 s for a
// server, as for a key that is about to have an owner.
TEST_F(RequestHandlerTest, RequestForAServiceWithoutServersIsRefusedAtOnce) {
  auto snapshot = BuildTestSnapshot();
  snapshot->m_servers_known = true;
  m_path.m_handler->OnSnapshot(std::move(snapshot));
  EXPECT_EQ(Handle().m_status, 503);
  EXPECT_EQ(m_other_fiber_runs, 0U);
  m_path.m_permits.m_on = false;
  EXPECT_EQ(Handle().m_status, 503);
  EXPECT_EQ(m_other_fiber_runs, 0U);
}

// A host that has just started has not read the servers yet: its requests must
// not be refused for that.
TEST_F(RequestHandlerTest, RequestWaitsUntilTheServersAreRead) {
  m_path.m_handler->OnSnapshot(BuildTestSnapshot());
  StartFiber([this] {
    boost::this_fiber::sleep_for(milliseconds(50));
    auto snapshot = BuildTestSnapshot();
    snapshot->m_servers_known = true;
    AddTestServer(*snapshot, "server-1", m_server.GetPort());
    m_path.m_handler->OnSnapshot(std::move(snapshot));
  });
  EXPECT_EQ(Handle().m_status, 200);
}

// A request for a service whose first server was about to be known was refused.
TEST_F(RequestHandlerTest, RequestWaitsForTheFirstServerOfAService) {
  TestRequestPath path;
  auto without_server = BuildTestSnapshot();
  without_server->m_servers_known = true;
  path.m_handler->OnSnapshot(without_server);
  StartFiber([&] {
    boost::this_fiber::sleep_for(milliseconds(50));
    auto snapshot = BuildTestSnapshot();
    snapshot->m_servers_known = true;
    AddTestServer(*snapshot, "server-1", m_server.GetPort());
    path.m_handler->OnSnapshot(std::move(snapshot));
  });
  EXPECT_EQ(path.Handle().m_status, 200);
}

// Whatever the steps on the way to a server disagree about, a request lets
// other fibers run and ends by its deadline.
TEST_F(RequestHandlerTest, RequestThatFindsNoServerAgainAndAgainEndsInTime) {
  m_path.m_front_end.m_deadline = milliseconds(300);
  m_path.m_permits.m_state = PermitState::kQueued;
  const TimePoint started_at = Clock::now();
  EXPECT_EQ(Handle().m_status, 503);
  EXPECT_GE(Clock::now(), started_at + m_path.m_front_end.m_deadline);
  EXPECT_LE(m_path.m_permits.m_calls, 50U);
  EXPECT_GT(m_other_fiber_runs, 0U);
}

/// A server that refuses the first request on each connection without the id of
/// the request. When it takes another one there, it sends the refusal once more
/// and runs the request.
class FakeRefusingServer {
 public:
  FakeRefusingServer()
      : m_server([this](RawConnection& connection) { Serve(connection); }) {}

  uint16_t GetPort() const { return m_server.GetPort(); }

  uint32_t m_refused = 0;
  uint32_t m_run = 0;

 private:
  void Serve(RawConnection& connection) {
    const std::string refusal = std::string("HTTP/1.1 503 Full\r\n") +
                                kNotRunField + ": 1\r\n" + kNoIdField +
                                ": 1\r\nContent-Length: 0\r\n\r\n";
    for (int i = 0; !connection.ReadUntil("\r\n\r\n").empty(); ++i) {
      ++(i == 0 ? m_refused : m_run);
      connection.Write(refusal);
    }
  }

  RawServer m_server;
};

// A second copy of a refusal was taken for the refusal of the next request on
// the connection, which was sent on and ran twice.
TEST(RefusalTest, CopyOfARefusalIsNotTakenForThatOfAnotherRequest) {
  FakeRefusingServer server;
  TestRequestPath path;
  path.m_permits.m_on = false;
  auto snapshot = BuildTestSnapshot();
  AddTestServer(*snapshot, "server-1", server.GetPort());
  path.m_handler->OnSnapshot(std::move(snapshot));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(path.Handle().m_status, 503);
  }
  EXPECT_GE(server.m_refused, 5U);
  EXPECT_EQ(server.m_run, 0U);
}

}  // namespace
}  // namespace foxtail
