#include "runtime/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runtime/fiber_event.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

namespace foxtail {
namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

// Sends a request before any fiber of the server can run, and closes the
// connection if told to. Returns whether the handler found the request
// cancelled, or nothing if it did not run.
std::optional<bool> HandleRequestOfClient(bool closes) {
  FiberEvent handled;
  std::optional<bool> cancelled;
  HttpServer server({"127.0.0.1", 0}, HttpServerSettings(),
                    [&](HttpRequest& request) {
                      cancelled = request.m_cancellation->IsCancelled();
                      handled.Notify();
                      return HttpResponse();
                    });
  server.Start();
  tcp::socket client(ThreadIoContext());
  client.connect({boost::asio::ip::address_v4::loopback(), server.GetPort()});
  boost::asio::write(
      client,
      boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
  if (closes) {
    client.close();
  }
  const TimePoint until = Clock::now() + seconds(5);
  while (!cancelled && Clock::now() < until) {
    handled.WaitUntil(until);
  }
  client.close();
  EXPECT_TRUE(server.Stop(seconds(5)));
  return cancelled;
}

// A server that is behind reads requests whose clients have left already.
TEST(HttpServerTest, RequestOfAClientThatLeftIsCancelledFromTheStart) {
  EXPECT_EQ(HandleRequestOfClient(true), true);
  EXPECT_EQ(HandleRequestOfClient(false), false);
}

/// A server and a client that sends requests without letting a fiber of the
/// server run.
class ServerStopTest : public testing::Test {
 protected:
  ServerStopTest()
      : m_server({"127.0.0.1", 0}, HttpServerSettings(), [](HttpRequest&) {
          HttpResponse response;
          response.m_body = "wax";
          return response;
        }) {
    m_server.Start();
  }

  void ConnectAndSend() {
    m_client.connect(
        {boost::asio::ip::address_v4::loopback(), m_server.GetPort()});
    Send();
  }

  void Send() {
    boost::asio::write(m_client, boost::asio::buffer(std::string(
                                     "GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
  }

  std::string ReadResponse() {
    std::string text;
    const boost::system::error_code failure = AwaitOperation([&](auto handler) {
      boost::asio::async_read_until(m_client, boost::asio::dynamic_buffer(text),
                                    "wax", handler);
    });
    return failure ? failure.message() : text.substr(0, text.find('\r'));
  }

  HttpServer m_server;
  tcp::socket m_client{ThreadIoContext()};
};

// During a planned stop, connections that the kernel had accepted and the
// process had not were reset, with the requests that clients had sent on them.
TEST_F(ServerStopTest, ConnectionThatWaitsToBeAcceptedIsServed) {
  ConnectAndSend();
  EXPECT_TRUE(m_server.Stop(seconds(5)));
  EXPECT_EQ(ReadResponse(), "HTTP/1.1 200 OK");
}

// The same with a request that had arrived on an idle connection and that the
// process had not read.
TEST_F(ServerStopTest, RequestThatWaitsToBeReadIsAnswered) {
  ConnectAndSend();
  EXPECT_EQ(ReadResponse(), "HTTP/1.1 200 OK");
  Send();
  EXPECT_TRUE(m_server.Stop(seconds(5)));
  EXPECT_EQ(ReadResponse(), "HTTP/1.1 200 OK");
}

/// A server whose handler answers each request with its target when the test
/// says so, and a client that writes raw bytes.
class PipelineTest : public testing::Test {
 protected:
  PipelineTest()
      : m_server({"127.0.0.1", 0},
                 HttpServerSettings(),
                 [this](HttpRequest& request) { return Handle(request); }),
        m_client(ThreadIoContext()) {
    m_server.Start();
    m_client.connect(
        {boost::asio::ip::address_v4::loopback(), m_server.GetPort()});
  }

  ~PipelineTest() override {
    m_all_finish = true;
    m_changed.Notify();
    m_client.close();
    EXPECT_TRUE(m_server.Stop(seconds(5)));
  }

  HttpResponse Handle(const HttpRequest& request) {
    m_started.push_back(request.m_target);
    m_changed.Notify();
    AwaitUntil([&] {
      return m_all_finish || m_finished.contains(request.m_target) ||
             request.m_cancellation->IsCancelled();
    });
    m_cancelled += request.m_cancellation->IsCancelled() ? 1 : 0;
    HttpResponse response;
    response.m_body = request.m_target;
    return response;
  }

  void Send(const std::string& method, const std::string& target) {
    const std::string request = method + " " + target +
                                " HTTP/1.1\r\nHost: test\r\n"
                                "Content-Length: 0\r\n\r\n";
    boost::asio::write(m_client, boost::asio::buffer(request));
  }

  void Finish(const std::string& target) {
    m_finished.insert(target);
    m_changed.Notify();
  }

  // Waits for the condition; returns whether it came true in time.
  template <typename Condition>
  bool AwaitUntil(Condition condition, Duration timeout = seconds(5)) {
    const TimePoint until = Clock::now() + timeout;
    while (!condition() && Clock::now() < until) {
      m_changed.WaitUntil(
          std::min(until, Clock::now() + std::chrono::milliseconds(20)));
    }
    return condition();
  }

  // Returns the bytes that arrive until they contain `last`, or the connection
  // ends.
  std::string Receive(const std::string& last) {
    std::string received;
    AwaitUntil([&] {
      std::string block(4096, '\0');
      boost::system::error_code failure;
      m_client.non_blocking(true);
      const size_t bytes =
          m_client.read_some(boost::asio::buffer(block), failure);
      m_client.non_blocking(false);
      received += block.substr(0, bytes);
      return received.find(last) != std::string::npos ||
             failure == boost::asio::error::eof;
    });
    return received;
  }

  size_t CountStarted() const { return m_started.size(); }

  FiberEvent m_changed;
  std::vector<std::string> m_started;
  std::set<std::string> m_finished;
  bool m_all_finish = false;
  size_t m_cancelled = 0;
  HttpServer m_server;
  tcp::socket m_client;
};

// Requests behind a slow one waited to be read until their clients gave up.
TEST_F(PipelineTest, SafeRequestsRunBesideEachOtherAndAreAnsweredInOrder) {
  Send("GET", "/1");
  Send("GET", "/2");
  ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == 2; }));
  Finish("/2");
  Finish("/1");
  const std::string received = Receive("/2");
  EXPECT_NE(received.find("/1"), std::string::npos);
  EXPECT_LT(received.find("/1"), received.find("/2"));
}

TEST_F(PipelineTest, ReadsNoMoreRequestsThanTheLimit) {
  const size_t limit = HttpServerSettings().m_max_pipelined;
  for (size_t i = 0; i < limit + 2; ++i) {
    Send("GET", "/" + std::to_string(i));
  }
  ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == limit; }));
  EXPECT_FALSE(AwaitUntil([&] { return CountStarted() > limit; },
                          std::chrono::milliseconds(100)));
  Finish("/0");
  EXPECT_TRUE(AwaitUntil([&] { return CountStarted() == limit + 1; }));
}

TEST_F(PipelineTest, UnsafeRequestStartsWhenAllBeforeItAreAnswered) {
  Send("GET", "/1");
  Send("POST", "/2");
  Send("GET", "/3");
  ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == 1; }));
  EXPECT_FALSE(AwaitUntil([&] { return CountStarted() > 1; },
                          std::chrono::milliseconds(100)));
  Finish("/1");
  ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == 2; }));
  EXPECT_EQ(m_started.back(), "/2");
}

TEST_F(PipelineTest, ClientThatLeavesCancelsAllItsRequests) {
  Send("GET", "/1");
  Send("GET", "/2");
  ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == 2; }));
  m_client.close();
  EXPECT_TRUE(AwaitUntil([&] { return m_cancelled == 2; }));
}

// The next request's bytes went to a stale place of the buffer, so it was
// parsed together with other bytes.
TEST_F(PipelineTest, RequestsThatWaitInTheBufferLeaveTheNextOnesIntact) {
  for (int i = 0; i < 3; ++i) {
    const std::string first = "/first" + std::to_string(i);
    const std::string second = "/second" + std::to_string(i);
    Send("POST", first);
    ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == 2U * i + 1; }));
    Send("POST", second);
    AwaitUntil([] { return false; }, std::chrono::milliseconds(30));
    Finish(first);
    Finish(second);
    ASSERT_NE(Receive(second).find(second), std::string::npos);
    EXPECT_EQ(m_started.back(), second);
  }
}

// During a planned stop all that was read is answered, and only the last
// response announces the end of the connection.
TEST_F(PipelineTest, StopAnswersAllRequestsThatWereRead) {
  Send("GET", "/1");
  Send("GET", "/2");
  ASSERT_TRUE(AwaitUntil([&] { return CountStarted() == 2; }));
  m_server.StartDraining();
  m_all_finish = true;
  m_changed.Notify();
  const std::string received = Receive("/2");
  const size_t second = received.find("/1");
  ASSERT_NE(second, std::string::npos);
  const size_t close = received.find("Connection: close");
  EXPECT_GT(close, second);
  EXPECT_NE(close, std::string::npos);
}

// The deadline of a request that waited to be read counts from its arrival.
TEST_F(PipelineTest, RequestsCarryTheTimeOfTheirArrival) {
  const size_t limit = HttpServerSettings().m_max_pipelined;
  std::vector<TimePoint> arrivals;
  HttpServer server(
      {"127.0.0.1", 0}, HttpServerSettings(), [&](HttpRequest& request) {
        arrivals.push_back(request.m_arrived_at);
        AwaitUntil([] { return false; }, std::chrono::milliseconds(100));
        return HttpResponse();
      });
  server.Start();
  tcp::socket client(ThreadIoContext());
  client.connect({boost::asio::ip::address_v4::loopback(), server.GetPort()});
  std::string requests;
  for (size_t i = 0; i < limit + 1; ++i) {
    requests += "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  }
  boost::asio::write(client, boost::asio::buffer(requests));
  ASSERT_TRUE(AwaitUntil([&] { return arrivals.size() == limit + 1; }));
  EXPECT_LT(arrivals.back() - arrivals.front(), std::chrono::milliseconds(50));
  client.close();
  EXPECT_TRUE(server.Stop(seconds(5)));
}

}  // namespace
}  // namespace foxtail
