#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>
#include <ostream>

#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_stream.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace foxtail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::seconds;

constexpr size_t kBodyLimit = 1024 * 1024;

// The client's limit, and what the kernel's buffers of both sides may hold.
constexpr size_t kMostSent = kBodyLimit + 16 * 1024 * 1024;

constexpr size_t kBlockSize = 64 * 1024;

/// Bytes that a server sends first, and bytes that it repeats until the client
/// closes the connection.
struct EndlessBytes {
  std::string m_name;
  std::string m_first;
  std::string m_repeated;
};

std::ostream& operator<<(std::ostream& out, const EndlessBytes& bytes) {
  return out << bytes.m_name;
}

// Returns how many of the bytes were sent.
size_t SendAll(FiberStream& stream,
               const std::string& bytes,
               error_code& failure) {
  size_t sent = 0;
  while (sent < bytes.size() && !failure) {
    sent += stream.write_some(
        boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), failure);
  }
  return sent;
}

class EndlessResponseTest : public testing::TestWithParam<EndlessBytes> {};

TEST_P(EndlessResponseTest, ClientClosesTheConnectionAtItsLimit) {
  tcp::acceptor acceptor(
      ThreadIoContext(),
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  size_t sent = 0;
  bool closed = false;
  StartFiber([&] {
    tcp::socket socket(ThreadIoContext());
    AwaitOperation(
        [&](auto handler) { acceptor.async_accept(socket, handler); });
    FiberStream server(std::move(socket));
    server.EnableImmediateWrites();
    server.SetDeadline(Clock::now() + seconds(10));
    std::string repeated;
    while (repeated.size() < kBlockSize) {
      repeated += GetParam().m_repeated;
    }
    error_code failure;
    sent += SendAll(server, GetParam().m_first, failure);
    while (!failure) {
      sent += SendAll(server, repeated, failure);
    }
    closed = failure != boost::asio::error::timed_out;
  });
  HttpClient client({.m_body_limit = kBodyLimit});
  const TimePoint deadline = Clock::now() + seconds(5);
  const ExchangeResult result = client.Exchange(
      {"127.0.0.1", acceptor.local_endpoint().port()}, HttpRequest(), deadline);
  EXPECT_FALSE(result.m_ok);
  EXPECT_FALSE(result.m_timed_out);
  EXPECT_EQ(result.m_progress, ExchangeProgress::kMaybeSent);
  while (!closed && Clock::now() < deadline) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
  }
  EXPECT_TRUE(closed);
  EXPECT_LE(sent, kMostSent);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    EndlessResponseTest,
    testing::Values(
        EndlessBytes{"NoResponse", "", "x"},
        EndlessBytes{"StatusLine", "HTTP/1.1 200 ", "x"},
        EndlessBytes{"Field", "HTTP/1.1 200 OK\r\nX-Field: ", "x"},
        EndlessBytes{"Fields", "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
        EndlessBytes{"BodyUntilClose", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        EndlessBytes{"Chunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "4\r\nxxxx\r\n"},
        EndlessBytes{"ChunkExtension",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                     "x"}),
    [](const auto& kind) { return kind.param.m_name; });

// Input that was always ready kept a reader beyond its deadline.
TEST(EndlessResponseDeadlineTest, ReadFailsAfterItsDeadline) {
  tcp::acceptor acceptor(
      ThreadIoContext(),
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  FiberStream near{tcp::socket(ThreadIoContext())};
  near.GetSocket().connect(acceptor.local_endpoint());
  tcp::socket far = acceptor.accept();
  far.write_some(boost::asio::buffer("bytes", 5));
  near.SetDeadline(Clock::now());
  char byte = 0;
  error_code failure;
  near.read_some(boost::asio::buffer(&byte, 1), failure);
  EXPECT_EQ(failure, boost::asio::error::timed_out);
}

// An extension of a chunk has no limit in the parser. The server held all of it
// until the client stopped.
TEST(EndlessRequestTest, ServerEndsARequestAtItsLimit) {
  HttpServerSettings settings;
  settings.m_body_limit = kBodyLimit;
  size_t handled = 0;
  HttpServer server({"127.0.0.1", 0}, settings, [&handled](HttpRequest&) {
    ++handled;
    return HttpResponse();
  });
  server.Start();
  FiberStream client{tcp::socket(ThreadIoContext())};
  client.GetSocket().connect(
      {boost::asio::ip::address_v4::loopback(), server.GetPort()});
  client.EnableImmediateWrites();
  client.SetDeadline(Clock::now() + seconds(5));
  error_code failure;
  size_t sent = SendAll(client,
                        "POST / HTTP/1.1\r\nHost: a\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n4;",
                        failure);
  const std::string block(kBlockSize, 'x');
  while (!failure && sent <= kMostSent) {
    sent += SendAll(client, block, failure);
  }
  EXPECT_LE(sent, kMostSent);
  EXPECT_NE(failure, boost::asio::error::timed_out);
  EXPECT_EQ(handled, 0U);
  server.Stop(seconds(1));
}

// The parser throws at a field of over 64 KiB. The exception ended the fiber of
// the connection, which stayed open for ever.
TEST(EndlessRequestTest, FieldLongerThanTheParserTakesEndsItsConnection) {
  HttpServerSettings settings;
  settings.m_header_limit = 4 * kBlockSize;
  HttpServer server({"127.0.0.1", 0}, settings,
                    [](HttpRequest&) { return HttpResponse(); });
  server.Start();
  FiberStream client{tcp::socket(ThreadIoContext())};
  client.GetSocket().connect(
      {boost::asio::ip::address_v4::loopback(), server.GetPort()});
  client.EnableImmediateWrites();
  client.SetDeadline(Clock::now() + seconds(5));
  error_code failure;
  SendAll(client,
          "GET / HTTP/1.1\r\nHost: a\r\nX-Field: " +
              std::string(2 * kBlockSize, 'x') + "\r\n\r\n",
          failure);
  std::string response(12, ' ');
  client.read_some(boost::asio::buffer(response), failure);
  EXPECT_EQ(response, "HTTP/1.1 431");
  client.GetSocket().close();
  EXPECT_TRUE(server.Stop(seconds(5)));
}

}  // namespace
}  // namespace foxtail
