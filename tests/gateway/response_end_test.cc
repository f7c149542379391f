#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <sstream>

#include "core/error.h"
#include "support/fake_request_path.h"
#include "support/raw_server.h"

namespace foxtail {
namespace {

constexpr size_t kShortBody = 200;        // bytes
constexpr size_t kLongBody = 300 * 1024;  // bytes, passed on in pieces

/// How a server ends the connection after a response.
enum class ConnectionEnd { kClose, kReset };

/// A response that ends its connection, and what the client must get.
struct EndingResponse {
  std::string m_name;
  std::string m_head;
  std::string m_body;
  ConnectionEnd m_end = ConnectionEnd::kClose;
  int m_status = 200;

  /// Length of the body, or nothing if it must not look complete.
  std::optional<size_t> m_length;
};

std::ostream& operator<<(std::ostream& out, const EndingResponse& response) {
  return out << response.m_name;
}

std::string InChunks(const std::string& body) {
  constexpr size_t kChunk = 16 * 1024;  // bytes
  std::ostringstream out;
  for (size_t at = 0; at < body.size(); at += kChunk) {
    const std::string chunk = body.substr(at, kChunk);
    out << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
  }
  out << "0\r\n\r\n";
  return out.str();
}

/// A handler and a server whose responses end their connections.
class ResponseEndTest : public testing::Test {
 protected:
  ResponseEndTest() {
    m_path.m_permits.m_on = false;
    auto snapshot = BuildTestSnapshot();
    AddTestServer(*snapshot, "server-1", m_server.GetPort());
    m_path.m_handler->OnSnapshot(std::move(snapshot));
  }

  // Returns the length of a response's body, or nothing if it broke off.
  static std::optional<size_t> ReadBody(const HttpResponse& response) {
    size_t length = response.m_body.size();
    std::string piece = "first";
    try {
      while (response.m_body_stream && !piece.empty()) {
        response.m_body_stream->Read(piece);
        length += piece.size();
      }
    } catch (const Error&) {
      return std::nullopt;
    }
    return length;
  }

  void Serve(RawConnection& connection) {
    if (connection.ReadUntil("\r\n\r\n").empty()) {
      return;
    }
    ++m_requests;
    connection.Write(m_response);
    if (m_end == ConnectionEnd::kReset) {
      connection.Reset();
    }
  }

  std::string m_response;
  ConnectionEnd m_end = ConnectionEnd::kClose;
  uint32_t m_requests = 0;
  RawServer m_server{[this](RawConnection& connection) { Serve(connection); }};
  TestRequestPath m_path;
};

class ResponseFormTest : public ResponseEndTest,
                         public testing::WithParamInterface<EndingResponse> {};

// Responses with `Connection: close` or without a length were thrown away, long
// ones in the middle of their bodies: the client got 502 for a request that had
// run.
TEST_P(ResponseFormTest, ResponseThatEndsItsConnectionIsPassedOn) {
  const EndingResponse& sent = GetParam();
  m_response = sent.m_head + "\r\n" + sent.m_body;
  m_end = sent.m_end;
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response = m_path.Handle();
    EXPECT_EQ(response.m_status, sent.m_status);
    if (sent.m_status == 200) {
      EXPECT_EQ(ReadBody(response), sent.m_length);
    }
  }
  EXPECT_GE(m_requests, 3U);
}

std::vector<EndingResponse> EndingResponses() {
  const std::string short_body(kShortBody, 'x');
  const std::string long_body(kLongBody, 'x');
  const std::string close = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
  const std::string open_end = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = close + "Transfer-Encoding: chunked\r\n";
  const auto length = [](size_t bytes) {
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
  };
  constexpr auto kClose = ConnectionEnd::kClose;
  constexpr auto kReset = ConnectionEnd::kReset;
  return {
      {"ShortWithLength", close + length(kShortBody), short_body, kClose, 200,
       kShortBody},
      {"LongWithLength", close + length(kLongBody), long_body, kClose, 200,
       kLongBody},
      {"ShortWithoutLength", open_end, short_body, kClose, 200, kShortBody},
      {"LongWithoutLength", open_end, long_body, kClose, 200, kLongBody},
      {"ShortWithoutLengthAndClose", close, short_body, kClose, 200,
       kShortBody},
      {"LongWithoutLengthAndClose", close, long_body, kClose, 200, kLongBody},
      {"ShortChunked", chunked, InChunks(short_body), kClose, 200, kShortBody},
      {"LongChunked", chunked, InChunks(long_body), kClose, 200, kLongBody},
      {"OfVersion10", "HTTP/1.0 200 OK\r\n" + length(kShortBody), short_body,
       kClose, 200, kShortBody},
      // What breaks off must not look complete.
      {"ShortWithoutLengthReset", open_end, short_body, kReset, 502,
       std::nullopt},
      {"LongWithoutLengthReset", open_end, long_body, kReset, 200,
       std::nullopt},
      {"LongWithLengthCut", close + length(kLongBody + 1), long_body, kClose,
       200, std::nullopt},
      // What belongs to another request is none.
      {"OfAnotherRequest",
       close + kOtherRequestField + ": 1\r\n" + length(kShortBody), short_body,
       kClose, 502, std::nullopt},
      // A refusal stays one: the request is sent again, and then refused.
      {"Refusal",
       "HTTP/1.1 503 Full\r\nConnection: close\r\n" +
           std::string(kNotRunField) + ": 1\r\n" + length(0),
       "", kClose, 503, std::nullopt},
  };
}

INSTANTIATE_TEST_SUITE_P(All,
                         ResponseFormTest,
                         testing::ValuesIn(EndingResponses()),
                         [](const auto& tested) {
                           return tested.param.m_name;
                         });

// What a server tells with the last response on a connection was lost: that it
// leaves, and that it wants a pause.
TEST_F(ResponseEndTest, LastResponseOnAConnectionTellsThatTheServerLeaves) {
  m_path.m_permits.m_on = true;
  m_path.m_permits.m_state = PermitState::kGranted;
  m_path.m_permits.m_server = "server-1";
  m_response = std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n") +
               kLeavingField + ": 1\r\n" + kPauseField +
               ": 500\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(m_path.Handle().m_status, 200);
  ASSERT_EQ(m_path.m_permits.m_returns.size(), 1U);
  const PermitReturn& returned = m_path.m_permits.m_returns.front();
  EXPECT_EQ(returned.m_end, PermitEnd::kResponded);
  EXPECT_TRUE(returned.m_leaving);
  EXPECT_EQ(returned.m_pause, std::chrono::milliseconds(500));
  EXPECT_EQ(m_path.m_handler->TakeLeavingServers().size(), 1U);
}

}  // namespace
}  // namespace foxtail
