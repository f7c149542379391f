#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <memory>
#include <ostream>
#include <string>

#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"

namespace foxtail {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bytes of a server's response, and the status that the client takes them for;
/// 0 means no response.
struct RawResponse {
  std::string m_name;
  std::string m_bytes;
  int m_status = 0;
};

std::ostream& operator<<(std::ostream& out, const RawResponse& response) {
  return out << response.m_name;
}

/// A server that sends fixed bytes in response to one request.
class ResponseStatusTest : public testing::TestWithParam<RawResponse> {
 protected:
  // Returns the result of an exchange. The server keeps its end open until the
  // client has closed the connection, or until the deadline.
  ExchangeResult Exchange() {
    StartFiber([this, ended = m_ended, bytes = GetParam().m_bytes] {
      tcp::socket server(ThreadIoContext());
      AwaitOperation(
          [&](auto handler) { m_acceptor.async_accept(server, handler); });
      std::string input;
      AwaitOperation([&](auto handler) {
        boost::asio::async_read_until(
            server, boost::asio::dynamic_buffer(input), "\r\n\r\n", handler);
      });
      boost::asio::write(server, boost::asio::buffer(bytes));
      AwaitOperation([&](auto handler) {
        server.async_wait(tcp::socket::wait_read, handler);
      });
      *ended = true;
    });
    return m_client.Exchange({"127.0.0.1", m_acceptor.local_endpoint().port()},
                             HttpRequest(), Clock::now() + milliseconds(500));
  }

  tcp::acceptor m_acceptor{
      ThreadIoContext(),
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  std::shared_ptr<bool> m_ended = std::make_shared<bool>(false);
  HttpClient m_client;
};

TEST_P(ResponseStatusTest, OnlyAFinalResponseIsOne) {
  ExchangeResult result = Exchange();
  EXPECT_EQ(result.m_ok ? result.m_response.m_status : 0, GetParam().m_status);
  if (GetParam().m_status == 0) {
    EXPECT_EQ(result.m_progress, ExchangeProgress::kMaybeSent);
    const TimePoint until = Clock::now() + seconds(5);
    while (!*m_ended && Clock::now() < until) {
      boost::this_fiber::sleep_for(milliseconds(2));
    }
    EXPECT_TRUE(*m_ended) << "the connection is still open";
  }
}

constexpr const char* kEmpty = "\r\nContent-Length: 0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    ResponseStatusTest,
    testing::Values(
        RawResponse{"000", std::string("HTTP/1.1 000 X") + kEmpty},
        RawResponse{"099", std::string("HTTP/1.1 099 X") + kEmpty},
        RawResponse{"600", std::string("HTTP/1.1 600 X") + kEmpty},
        RawResponse{"999", std::string("HTTP/1.1 999 X") + kEmpty},
        RawResponse{"ContinueWithLength",
                    std::string("HTTP/1.1 100 X") + kEmpty},
        RawResponse{"ContinueAlone", "HTTP/1.1 100 X\r\n\r\n"},
        RawResponse{"SwitchedProtocols",
                    "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"},
        RawResponse{"ContinueAndFinal",
                    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"
                    "HTTP/1.1 204 X\r\n\r\n",
                    204},
        RawResponse{"599", std::string("HTTP/1.1 599 X") + kEmpty, 599}),
    [](const auto& response) { return response.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
    Lengths,
    ResponseStatusTest,
    testing::Values(
        RawResponse{"TwoLengths",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    "Content-Length: 3\r\n\r\nwax"},
        RawResponse{"ListOfLengths",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nwax"},
        RawResponse{"SignedLength",
                    "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nwax"},
        RawResponse{"LengthAndChunks",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        RawResponse{"ChunksAndLength",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    "Content-Length: 3\r\n\r\n0\r\n\r\n"},
        RawResponse{"UnknownCoding",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
                    "Content-Length: 3\r\n\r\nwax"}),
    [](const auto& response) { return response.param.m_name; });

}  // namespace
}  // namespace foxtail
