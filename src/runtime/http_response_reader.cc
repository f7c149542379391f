#include "runtime/http_response_reader.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>

#include "core/error.h"

namespace foxtail {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Size of a piece of a body that is passed on in pieces: the memory that such a
// response takes.
constexpr size_t kPieceSize = 16 * 1024;  // bytes

// More interim responses to one request are taken for a fault of the server.
constexpr int kMaxInterimResponses = 8;

// The status line of a final response (RFC 9110, 15).
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

using ResponseHead = http::response_header<http::fields>;

// Returns whether a response comes before the final one: any 1xx but 101, which
// answers only a request to change the protocol. An interim response has no
// body (RFC 9110, 15.2 and 8.6).
bool IsInterim(const ResponseHead& head) {
  const unsigned status = head.result_int();
  return status >= 100 && status < kMinFinalStatus && status != 101 &&
         head.count(http::field::content_length) == 0 &&
         head.count(http::field::transfer_encoding) == 0;
}

bool HasFinalStatus(const ResponseHead& head) {
  return head.result_int() >= kMinFinalStatus &&
         head.result_int() <= kMaxStatus;
}

// Returns whether another recipient could see another end of the body: with a
// coding that is not read here, a length beside a coding, or a list of lengths,
// all of which the parser accepts.
bool HasAmbiguousLength(const ResponseHead& head) {
  const auto codings = head.count(http::field::transfer_encoding);
  const auto lengths = head.count(http::field::content_length);
  if (codings > 0) {
    return codings > 1 || lengths > 0 ||
           !boost::beast::iequals(head[http::field::transfer_encoding],
                                  "chunked");
  }
  const auto length = head[http::field::content_length];
  return lengths > 1 || !std::all_of(length.begin(), length.end(), [](char c) {
           return c >= '0' && c <= '9';
         });
}

}  // namespace

HttpResponseReader::HttpResponseReader(
    std::unique_ptr<HttpClientConnection> connection,
    std::shared_ptr<Cancellation> cancellation)
    : m_connection(std::move(connection)),
      m_cancellation_scope(std::move(cancellation), [this] {
        // Closing the connection tells the server to stop its work.
        if (m_connection) {
          m_connection->m_stream.Abort();
        }
      }) {
  m_parser.emplace();
}

// The connection is reset, so that a late response is never taken for the
// response to a later request, and a call that was given up never arrives at a
// server that becomes reachable again.
HttpResponseReader::~HttpResponseReader() {
  if (m_connection) {
    m_connection->m_stream.Abort();
  }
}

error_code HttpResponseReader::ReadOneHead(bool has_body) {
  error_code failure;
  m_parser.emplace();
  // The limits of this class take the place of the parser's.
  m_parser->body_limit(boost::none);
  m_parser->skip(!has_body);
  http::read_header(m_connection->m_stream, m_connection->m_buffer, *m_parser,
                    failure);
  return failure;
}

error_code HttpResponseReader::ReadHead(bool has_body, HttpResponse& response) {
  error_code failure = ReadOneHead(has_body);
  for (int i = 0; i < kMaxInterimResponses && !failure &&
                  IsInterim(m_parser->get().base());
       ++i) {
    failure = ReadOneHead(has_body);
  }
  if (!failure && !HasFinalStatus(m_parser->get().base())) {
    failure = http::make_error_code(http::error::bad_status);
  }
  if (!failure && HasAmbiguousLength(m_parser->get().base())) {
    failure = http::make_error_code(http::error::bad_content_length);
  }
  if (failure) {
    return failure;
  }
  response.m_status = static_cast<int>(m_parser->get().result_int());
  for (const auto& field : m_parser->get()) {
    response.m_headers.Add(
        std::string_view(field.name_string().data(),
                         field.name_string().size()),
        std::string_view(field.value().data(), field.value().size()));
  }
  if (const auto length = m_parser->content_length()) {
    response.m_body_length = *length;
  }
  return {};
}

error_code HttpResponseReader::ReadBody(std::string& body, size_t limit) {
  error_code failure;
  while (!failure && !m_parser->is_done() && body.size() < limit) {
    const size_t size_before = body.size();
    body.resize(std::min(limit, size_before + kPieceSize));
    auto& target = m_parser->get().body();
    target.data = body.data() + size_before;
    target.size = body.size() - size_before;
    target.more = true;
    http::read(m_connection->m_stream, m_connection->m_buffer, *m_parser,
               failure);
    if (failure == http::error::need_buffer) {
      failure = {};
    }
    body.resize(body.size() - target.size);
  }
  return failure;
}

void HttpResponseReader::Complete() {
  if (m_on_complete) {
    m_on_complete(std::move(m_connection));
  }
}

void HttpResponseReader::Read(std::string& piece) {
  piece.clear();
  if (!m_connection) {
    return;
  }
  const error_code failure = ReadBody(piece, kPieceSize);
  if (failure) {
    throw Error(ErrorCode::kNetwork, Execution::kUnknown, failure.message());
  }
  if (m_parser->is_done()) {
    Complete();
    m_connection.reset();
  }
}

}  // namespace foxtail
