#include "runtime/fiber_stream.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace foxtail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two connected streams on loopback.
struct StreamPair {
  StreamPair() {
    tcp::acceptor acceptor(
        ThreadIoContext(),
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    m_near.GetSocket().connect(acceptor.local_endpoint());
    acceptor.accept(m_far.GetSocket());
    m_near.EnableImmediateWrites();
    m_far.EnableImmediateWrites();
  }

  FiberStream m_near{tcp::socket(ThreadIoContext())};
  FiberStream m_far{tcp::socket(ThreadIoContext())};
};

// An exception that isn't a `std::exception` ended the process.
TEST(FiberSchedulerTest, ExceptionsOfAnyTypeEndOnlyTheirFiber) {
  std::vector<std::string> failures;
  SetFiberExceptionHandler([&failures](const std::exception& failure) {
    failures.emplace_back(failure.what());
  });
  StartFiber([] { throw std::runtime_error("first"); });
  StartFiber([] { throw 2; });
  while (failures.size() < 2) {
    boost::this_fiber::yield();
  }
  SetFiberExceptionHandler(nullptr);
  EXPECT_EQ(failures[0], "first");
  EXPECT_NE(failures[1].find("unknown"), std::string::npos);
}

// Guards against a deadlock: an Asio handler that ran while a fiber was about
// to wait for an event, and notified the same event, blocked on the lock of
// that event forever.
TEST(FiberSchedulerTest, HandlersNotifyFibersThatAreAboutToWait) {
  constexpr int kRounds = 20'000;
  FiberEvent event;
  int handled = 0;
  bool stop = false;
  // A fiber that is always ready makes the scheduler poll for handlers between
  // fiber switches.
  StartFiber([&stop] {
    while (!stop) {
      boost::this_fiber::yield();
    }
  });
  while (handled < kRounds) {
    // The scheduler polls at every sixteenth fiber switch. The varying number
    // of switches makes the poll happen at a different point in each round.
    for (int i = 0; i < handled % 17; ++i) {
      boost::this_fiber::yield();
    }
    boost::asio::post(ThreadIoContext(), [&] {
      ++handled;
      event.Notify();
    });
    event.WaitUntil(Clock::now() + milliseconds(50));
  }
  stop = true;
  boost::this_fiber::yield();
  EXPECT_EQ(handled, kRounds);
}

TEST(FiberStreamTest, ReadTimesOutAtDeadline) {
  StreamPair pair;
  char byte = 0;
  error_code failure;
  pair.m_near.SetDeadline(Clock::now() + milliseconds(20));
  pair.m_near.read_some(boost::asio::buffer(&byte, 1), failure);
  EXPECT_EQ(failure, boost::asio::error::timed_out);
}

TEST(FiberStreamTest, WriteWaitsForSlowReader) {
  StreamPair pair;
  const std::string sent(8 * 1024 * 1024, 'x');
  size_t received = 0;
  bool done = false;
  StartFiber([&] {
    std::string buffer(64 * 1024, '\0');
    error_code failure;
    while (received < sent.size() && !failure) {
      received += pair.m_far.read_some(boost::asio::buffer(buffer), failure);
    }
    done = true;
  });
  pair.m_near.SetDeadline(Clock::now() + seconds(10));
  size_t written = 0;
  error_code failure;
  while (written < sent.size() && !failure) {
    written += pair.m_near.write_some(
        boost::asio::buffer(sent.data() + written, sent.size() - written),
        failure);
  }
  EXPECT_FALSE(failure) << failure.message();
  const TimePoint until = Clock::now() + seconds(10);
  while (!done && Clock::now() < until) {
    boost::this_fiber::sleep_for(milliseconds(1));
  }
  EXPECT_EQ(received, sent.size());
}

// Guards against a failure found by fault injection (OWNER): a grant renewal
// that a network partition had delayed arrived seconds after the client had
// given it up, when another server already owned the keys.
TEST(FiberStreamTest, TimedOutExchangeDeliversNothingLater) {
  tcp::acceptor acceptor(
      ThreadIoContext(),
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  HttpClient client;
  const ExchangeResult result =
      client.Exchange({"127.0.0.1", acceptor.local_endpoint().port()},
                      HttpRequest(), Clock::now() + milliseconds(30));
  EXPECT_TRUE(result.m_timed_out);
  FiberStream server(acceptor.accept());
  server.SetDeadline(Clock::now() + seconds(2));
  std::string buffer(4096, '\0');
  error_code failure;
  while (!failure) {
    server.read_some(boost::asio::buffer(buffer), failure);
  }
  // A reset discards data in transit; an ordinary close would be delivered
  // after the data.
  EXPECT_EQ(failure, boost::asio::error::connection_reset);
}

/// A server whose handler waits until the client has disconnected, for half a
/// second at most.
class ClientDisconnectTest : public testing::Test {
 protected:
  ClientDisconnectTest()
      : m_server({"127.0.0.1", 0},
                 HttpServerSettings(),
                 [this](HttpRequest& request) { return Serve(request); }) {
    m_server.Start();
  }

  ~ClientDisconnectTest() override { m_server.Stop(seconds(1)); }

  HttpResponse Serve(const HttpRequest& request) {
    const TimePoint started = Clock::now();
    FiberEvent disconnected;
    const CancellationScope scope(request.m_cancellation,
                                  [&disconnected] { disconnected.Notify(); });
    if (!request.m_cancellation->IsCancelled()) {
      disconnected.WaitUntil(started + milliseconds(500));
    }
    m_client_disconnected = request.m_cancellation->IsCancelled();
    m_wait_time = Clock::now() - started;
    ++m_served_requests;
    return HttpResponse();
  }

  void Send(FiberStream& stream, const std::string& bytes) {
    error_code failure;
    stream.write_some(boost::asio::buffer(bytes), failure);
    ASSERT_FALSE(failure);
  }

  bool AwaitServedRequests(int count) {
    const TimePoint until = Clock::now() + seconds(5);
    while (m_served_requests < count && Clock::now() < until) {
      boost::this_fiber::sleep_for(milliseconds(2));
    }
    return m_served_requests == count;
  }

  FiberStream ConnectClient() {
    FiberStream stream{tcp::socket(ThreadIoContext())};
    stream.GetSocket().connect(
        {boost::asio::ip::address_v4::loopback(), m_server.GetPort()});
    stream.EnableImmediateWrites();
    return stream;
  }

  HttpServer m_server;
  bool m_client_disconnected = false;
  Duration m_wait_time{};
  int m_served_requests = 0;
};

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

TEST_F(ClientDisconnectTest, ClosedConnectionCancelsRequest) {
  FiberStream client = ConnectClient();
  Send(client, kRequest);
  boost::this_fiber::sleep_for(milliseconds(30));
  client.GetSocket().close();
  ASSERT_TRUE(AwaitServedRequests(1));
  EXPECT_TRUE(m_client_disconnected);
  EXPECT_LT(m_wait_time, milliseconds(400));
}

// The end of the connection is already in the receive buffer, behind the
// request, when the request is read.
TEST_F(ClientDisconnectTest, RequestOfDisconnectedClientIsCancelledAtOnce) {
  FiberStream client = ConnectClient();
  Send(client, kRequest);
  client.GetSocket().close();
  ASSERT_TRUE(AwaitServedRequests(1));
  EXPECT_TRUE(m_client_disconnected);
  EXPECT_LT(m_wait_time, milliseconds(100));
}

TEST_F(ClientDisconnectTest, PipelinedRequestDoesNotCancel) {
  FiberStream client = ConnectClient();
  Send(client, std::string(kRequest) + kRequest);
  ASSERT_TRUE(AwaitServedRequests(2));
  EXPECT_FALSE(m_client_disconnected);
}

/// A server whose responses hold the number of its open connections.
class ConnectionReuseTest : public testing::Test {
 protected:
  ConnectionReuseTest()
      : m_server({"127.0.0.1", 0}, HttpServerSettings(), [this](HttpRequest&) {
          return Serve();
        }) {
    m_server.Start();
  }

  ~ConnectionReuseTest() override { m_server.Stop(seconds(1)); }

  HttpResponse Serve() {
    HttpResponse response;
    response.m_body = std::to_string(m_server.GetConnectionCount());
    return response;
  }

  // Returns how many connections are open during an exchange.
  std::string ExchangeAndCountConnections(const ExchangeOptions& options) {
    return m_client
        .Exchange({"127.0.0.1", m_server.GetPort()}, HttpRequest(),
                  Clock::now() + seconds(1), options)
        .m_response.m_body;
  }

  HttpServer m_server;
  HttpClient m_client;
};

TEST_F(ConnectionReuseTest, IdleConnectionIsReused) {
  EXPECT_EQ(ExchangeAndCountConnections({}), "1");
  EXPECT_EQ(ExchangeAndCountConnections({}), "1");
}

// Guards against a failure found by fault injection (MIXED): a server sent a
// corrupted response and then the correct one. The retry on the same connection
// received the second response to the first attempt, which carried the same
// request id.
TEST_F(ConnectionReuseTest, ConnectionWithMismatchedResponseIsClosed) {
  bool rejected = false;
  ExchangeOptions options;
  options.m_matches_request = [&rejected](const HttpResponse&) {
    return std::exchange(rejected, true);
  };
  EXPECT_EQ(ExchangeAndCountConnections(options), "1");
  const TimePoint until = Clock::now() + seconds(2);
  while (m_server.GetConnectionCount() > 0 && Clock::now() < until) {
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  EXPECT_EQ(m_server.GetConnectionCount(), 0U);
  EXPECT_EQ(ExchangeAndCountConnections(options), "1");
}

TEST_F(ConnectionReuseTest, ForcedNewConnectionIsOpened) {
  EXPECT_EQ(ExchangeAndCountConnections({}), "1");
  EXPECT_EQ(ExchangeAndCountConnections({.m_force_new_connection = true}), "2");
}

// A server over its limit of connections closes a new one at once. A request
// written before that was seen counted as possibly run.
TEST(HttpClientTest, NothingIsSentOnAConnectionThatIsClosedAtOnce) {
  tcp::acceptor acceptor(
      ThreadIoContext(),
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  bool accepted = false;
  StartFiber([&] {
    tcp::socket socket(ThreadIoContext());
    AwaitOperation(
        [&](auto handler) { acceptor.async_accept(socket, handler); });
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    accepted = true;
  });
  HttpClientSettings settings;
  settings.m_settle_time = milliseconds(20);
  HttpClient client(settings);
  const ExchangeResult result =
      client.Exchange({"127.0.0.1", acceptor.local_endpoint().port()},
                      HttpRequest(), Clock::now() + seconds(2));
  EXPECT_TRUE(accepted);
  EXPECT_FALSE(result.m_ok);
  EXPECT_TRUE(result.m_closed_at_once);
  EXPECT_EQ(result.m_progress, ExchangeProgress::kNothingSent);
}

}  // namespace
}  // namespace foxtail
