#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <optional>
#include <string>

#include "core/error.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace foxtail {
namespace {

using std::chrono::seconds;

constexpr size_t kPiece = 10 * 1024;     // bytes
constexpr size_t kBuffered = 64 * 1024;  // bytes
constexpr size_t kPieces = 4000;         // 40 MB, more than the kernel buffers

/// Body that is sent in pieces and may break off.
class FakeBody : public BodyStream {
 public:
  FakeBody(size_t pieces, bool breaks_off, size_t& read)
      : m_pieces(pieces), m_breaks_off(breaks_off), m_read(read) {}

  void Read(std::string& piece) override {
    if (m_read == m_pieces && m_breaks_off) {
      throw Error(ErrorCode::kNetwork);
    }
    piece = m_read == m_pieces ? "" : std::string(kPiece, 'x');
    m_read += piece.empty() ? 0 : 1;
  }

 private:
  size_t m_pieces;
  bool m_breaks_off;
  size_t& m_read;
};

/// A server that sends a body in pieces, and a client that reads it.
class BodyStreamTest : public testing::Test {
 protected:
  BodyStreamTest()
      : m_server({"127.0.0.1", 0}, HttpServerSettings(), [this](HttpRequest&) {
          HttpResponse response;
          response.m_body_stream =
              std::make_shared<FakeBody>(m_pieces, m_breaks_off, m_sent);
          response.m_body_length = m_length;
          return response;
        }) {
    m_server.Start();
  }

  ~BodyStreamTest() override { EXPECT_TRUE(m_server.Stop(seconds(5))); }

  ExchangeResult Exchange() {
    ExchangeOptions options;
    options.m_max_buffered_body = kBuffered;
    return m_client.Exchange({"127.0.0.1", m_server.GetPort()}, HttpRequest(),
                             Clock::now() + seconds(20), options);
  }

  // Returns the length of the body, or nothing if it broke off.
  static std::optional<size_t> ReadBody(ExchangeResult& result) {
    if (!result.m_ok) {
      return std::nullopt;
    }
    size_t length = result.m_response.m_body.size();
    std::string piece = "first";
    try {
      while (result.m_response.m_body_stream && !piece.empty()) {
        result.m_response.m_body_stream->Read(piece);
        length += piece.size();
      }
    } catch (const Error&) {
      return std::nullopt;
    }
    return length;
  }

  size_t m_pieces = kPieces;
  bool m_breaks_off = false;
  std::optional<uint64_t> m_length = kPieces * kPiece;
  size_t m_sent = 0;
  HttpServer m_server;
  HttpClient m_client;
};

TEST_F(BodyStreamTest, LargeBodyArrivesWhole) {
  ExchangeResult result = Exchange();
  EXPECT_EQ(ReadBody(result), kPieces * kPiece);
}

TEST_F(BodyStreamTest, LargeBodyOfUnknownLengthArrivesWhole) {
  m_length.reset();
  ExchangeResult result = Exchange();
  EXPECT_EQ(ReadBody(result), kPieces * kPiece);
}

// A body that breaks off must never look complete.
TEST_F(BodyStreamTest, BodyThatBreaksOffIsNotComplete) {
  m_breaks_off = true;
  m_pieces = kPieces / 2;
  ExchangeResult result = Exchange();
  EXPECT_EQ(ReadBody(result), std::nullopt);
  m_length.reset();
  m_sent = 0;
  result = Exchange();
  EXPECT_EQ(ReadBody(result), std::nullopt);
}

TEST_F(BodyStreamTest, SmallBodyThatBreaksOffFailsTheExchange) {
  m_breaks_off = true;
  m_pieces = 2;
  m_length = 3 * kPiece;
  EXPECT_FALSE(Exchange().m_ok);
}

// Memory stays bounded: what a client does not read stays at the server.
TEST_F(BodyStreamTest, ClientThatDoesNotReadHoldsTheServerBack) {
  ExchangeResult result = Exchange();
  ASSERT_TRUE(result.m_ok);
  EXPECT_EQ(result.m_response.m_body.size(), kBuffered);
  EXPECT_LT(m_sent, kPieces);
}

TEST_F(BodyStreamTest, ConnectionIsUsedAgainAfterTheWholeBody) {
  m_pieces = kBuffered / kPiece + 4;
  m_length = m_pieces * kPiece;
  for (int i = 0; i < 2; ++i) {
    ExchangeResult result = Exchange();
    EXPECT_EQ(ReadBody(result), m_pieces * kPiece);
    m_sent = 0;
  }
  EXPECT_EQ(m_server.GetConnectionCount(), 1U);
}

}  // namespace
}  // namespace foxtail
