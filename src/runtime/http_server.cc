#include "runtime/http_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>

#include "core/error.h"
#include "runtime/error_response.h"
#include "runtime/fiber_event.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_stream.h"
#include "runtime/fiber_wait.h"

namespace foxtail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

constexpr std::chrono::milliseconds kPollPeriod{5};

// Most requests fit into one read.
constexpr size_t kFirstReadSize = 4096;  // bytes

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Requests with more than one framing, a transfer coding other than "chunked"
// alone, no Host field, or a repeated field that must be single are rejected,
// so that no two hops can disagree on where a request ends.
bool HasAmbiguousFraming(const Parser::value_type& message) {
  const auto codings = message.count(http::field::transfer_encoding);
  const auto lengths = message.count(http::field::content_length);
  const bool unsupported_coding =
      codings > 0 && !boost::beast::iequals(
                         message[http::field::transfer_encoding], "chunked");
  return unsupported_coding || codings > 1 || (codings > 0 && lengths > 0) ||
         lengths > 1 || message.count(http::field::host) != 1 ||
         message.count(http::field::authorization) > 1;
}

HttpRequest ToRequest(Parser::value_type&& message) {
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto& field : message) {
    request.m_headers.Add(
        std::string_view(field.name_string().data(),
                         field.name_string().size()),
        std::string_view(field.value().data(), field.value().size()));
  }
  request.m_body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToMessage(HttpResponse&& response,
                                            bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.m_status));
  for (const HttpHeader& field : response.m_headers.All()) {
    message.insert(field.m_name, field.m_value);
  }
  message.body() = std::move(response.m_body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

ErrorCode ErrorCodeOfReadFailure(const error_code& failure) {
  if (failure == http::error::header_limit) {
    return ErrorCode::kHeaderTooLarge;
  }
  if (failure == http::error::body_limit ||
      failure == http::error::buffer_overflow) {
    return ErrorCode::kRequestTooLarge;
  }
  return ErrorCode::kRequestMalformed;
}

bool ExpectsContinue(const Parser::value_type& message) {
  return beast::iequals(message[http::field::expect], "100-continue");
}

error_code WriteContinue(FiberStream& stream) {
  http::response<http::empty_body> interim(http::status::continue_, 11);
  error_code failure;
  http::write(stream, interim, failure);
  return failure;
}

bool IsProtocolFailure(const error_code& failure) {
  static const auto& category =
      http::make_error_code(http::error::bad_method).category();
  return failure.category() == category &&
         failure != http::error::end_of_stream &&
         failure != http::error::partial_message;
}

}  // namespace

// While a connection is idle or its request is being handled, a read is always
// pending. The read receives the next request or detects that the client has
// disconnected.
struct HttpServer::Connection
    : public std::enable_shared_from_this<HttpServer::Connection> {
  explicit Connection(tcp::socket socket) : m_stream(std::move(socket)) {
    m_stream.EnableImmediateWrites();
  }

  void StartRead() {
    if (m_reading || m_read_failure || m_buffer.size() > 0) {
      return;
    }
    m_reading = true;
    m_stream.GetSocket().async_read_some(
        m_buffer.prepare(kFirstReadSize),
        [self = shared_from_this()](const error_code& failure, size_t bytes) {
          self->OnRead(failure, bytes);
        });
  }

  void OnRead(const error_code& failure, size_t bytes) {
    m_reading = false;
    m_read_failure = failure;
    m_buffer.commit(bytes);
    m_read_finished.Notify();
    if (failure && m_cancellation) {
      m_cancellation->Cancel();
    }
  }

  // Returns whether the first bytes of a request have arrived.
  bool AwaitRequest(TimePoint until) {
    StartRead();
    while (m_reading && Clock::now() < until) {
      m_read_finished.WaitUntil(until);
    }
    return !m_reading && !m_read_failure;
  }

  FiberStream m_stream;
  beast::flat_buffer m_buffer;
  bool m_reading = false;
  error_code m_read_failure;
  FiberEvent m_read_finished;

  /// Cancellation of the request that is being handled; otherwise null.
  std::shared_ptr<Cancellation> m_cancellation;
  bool m_request_in_flight = false;
};

HttpServer::HttpServer(const Address& address,
                       const HttpServerSettings& settings,
                       Handler handler)
    : m_settings(settings),
      m_handler(std::move(handler)),
      m_acceptor(ThreadIoContext()) {
  const tcp::endpoint endpoint(asio::ip::make_address(address.m_host),
                               address.m_port);
  error_code failure;
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (m_settings.m_reuse_port) {
    m_acceptor.set_option(ReusePort(true));
  }
  m_acceptor.bind(endpoint, failure);
  if (!failure) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    throw Error(ErrorCode::kSettingInvalid,
                "cannot listen on " + address.ToString() + " (" +
                    failure.message() + "); allowed: a free local address");
  }
}

HttpServer::~HttpServer() = default;

void HttpServer::Start() {
  m_accepting = true;
  StartFiber([this] { AcceptLoop(); });
}

uint16_t HttpServer::GetPort() const {
  return m_acceptor.local_endpoint().port();
}

void HttpServer::AcceptLoop() {
  while (!m_stopping) {
    tcp::socket socket(ThreadIoContext());
    const error_code failure = AwaitOperation(
        [&](auto handler) { m_acceptor.async_accept(socket, handler); });
    if (failure) {
      // The process may have run out of descriptors. The pause keeps this loop
      // from spinning.
      boost::this_fiber::sleep_for(kPollPeriod);
      continue;
    }
    if (m_stopping || m_connections.size() >= m_settings.m_connection_limit) {
      continue;
    }
    auto connection = std::make_shared<Connection>(std::move(socket));
    m_connections.push_back(connection.get());
    StartFiber([this, connection] {
      ServeConnection(*connection);
      m_connections.remove(connection.get());
    });
  }
  m_accepting = false;
}

void HttpServer::ServeConnection(Connection& connection) {
  while (!m_stopping && ServeRequest(connection)) {
  }
  error_code ignored;
  connection.m_stream.GetSocket().shutdown(tcp::socket::shutdown_both, ignored);
  connection.m_stream.GetSocket().close(ignored);
}

bool HttpServer::ServeRequest(Connection& connection) {
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(m_settings.m_header_limit));
  parser.body_limit(m_settings.m_body_limit);
  connection.m_buffer.max_size(m_settings.m_header_limit + kReadBufferLimit);
  // The idle timeout limits the wait for the first bytes, the read timeout the
  // rest of the request.
  if (!connection.AwaitRequest(Clock::now() + m_settings.m_idle_timeout)) {
    return false;
  }
  connection.m_request_in_flight = true;
  FiberStream& stream = connection.m_stream;
  stream.SetDeadline(Clock::now() + m_settings.m_read_timeout);
  error_code failure;
  http::read_header(stream, connection.m_buffer, parser, failure);
  if (!failure && ExpectsContinue(parser.get())) {
    failure = WriteContinue(stream);
  }
  if (!failure) {
    http::read(stream, connection.m_buffer, parser, failure);
  }
  if (failure && !IsProtocolFailure(failure)) {
    return false;
  }
  HttpResponse response;
  bool keep_alive = false;
  if (failure) {
    response = ToErrorResponse(Error(ErrorCodeOfReadFailure(failure)));
  } else if (HasAmbiguousFraming(parser.get())) {
    response = ToErrorResponse(Error(ErrorCode::kRequestMalformed));
  } else {
    keep_alive = parser.get().keep_alive();
    HttpRequest request = ToRequest(parser.release());
    response = HandleRequest(connection, request);
  }
  if (response.m_drop_connection) {
    return false;
  }
  keep_alive =
      keep_alive && !response.m_close_connection && !m_stopping && !m_draining;
  auto message = ToMessage(std::move(response), keep_alive);
  stream.SetDeadline(Clock::now() + m_settings.m_read_timeout);
  http::write(stream, message, failure);
  connection.m_request_in_flight = false;
  return !failure && keep_alive;
}

HttpResponse HttpServer::HandleRequest(Connection& connection,
                                       HttpRequest& request) {
  request.m_cancellation = std::make_shared<Cancellation>();
  connection.m_cancellation = request.m_cancellation;
  connection.StartRead();
  // The read's completion is handled only after other fibers have run. If the
  // request waited to be read, its client may have left long ago.
  if (connection.m_stream.HasEnded()) {
    request.m_cancellation->Cancel();
  }
  HttpResponse response = HandleCatchingErrors(m_handler, request);
  connection.m_cancellation.reset();
  response.m_drop_connection =
      response.m_drop_connection || request.m_cancellation->IsCancelled();
  return response;
}

bool HttpServer::Stop(Duration timeout) {
  m_stopping = true;
  error_code ignored;
  m_acceptor.cancel(ignored);
  m_acceptor.close(ignored);
  const TimePoint until = Clock::now() + timeout;
  while (Clock::now() < until) {
    for (Connection* connection : m_connections) {
      if (!connection->m_request_in_flight) {
        connection->m_stream.GetSocket().cancel(ignored);
      }
    }
    if (m_connections.empty() && !m_accepting) {
      return true;
    }
    boost::this_fiber::sleep_for(kPollPeriod);
  }
  return false;
}

}  // namespace foxtail
