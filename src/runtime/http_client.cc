#include "runtime/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "core/error.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_stream.h"

namespace foxtail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Keep-alive probes detect a broken connection within about three seconds,
// which is the time after which a host counts as unreachable.
constexpr int kKeepAliveIdle = 1;      // seconds
constexpr int kKeepAliveInterval = 1;  // seconds
constexpr int kKeepAliveProbes = 2;

// The use of an idle connection ends this long before the idle timeout that the
// server states.
constexpr std::chrono::seconds kKeepAliveMargin{1};

void SetOption(tcp::socket& socket, int level, int name, int value) {
  setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void EnableKeepAlive(tcp::socket& socket) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdle);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveInterval);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

// Returns how long the connection may stay idle after this response.
Duration MaxIdleTimeOf(const HttpResponse& response,
                       Duration own_max_idle_time) {
  const std::string field = response.m_headers.GetOr("keep-alive", "");
  const size_t at = field.find("timeout=");
  if (at == std::string::npos) {
    return own_max_idle_time;
  }
  uint32_t server_timeout = 0;
  const char* begin = field.data() + at + std::string_view("timeout=").size();
  std::from_chars(begin, field.data() + field.size(), server_timeout);
  const Duration usable =
      std::chrono::seconds(server_timeout) - kKeepAliveMargin;
  return std::clamp(usable, Duration(0), own_max_idle_time);
}

http::request<http::string_body> ToMessage(const HttpRequest& request,
                                           const Address& address) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.m_method);
  message.target(request.m_target);
  for (const HttpHeader& field : request.m_headers.All()) {
    message.insert(field.m_name, field.m_value);
  }
  if (message.count(http::field::host) == 0) {
    message.set(http::field::host, address.ToString());
  }
  message.body() = request.m_body;
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

HttpResponse ToResponse(http::response<http::string_body>&& message) {
  HttpResponse response;
  response.m_status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.m_headers.Add(
        std::string_view(field.name_string().data(),
                         field.name_string().size()),
        std::string_view(field.value().data(), field.value().size()));
  }
  response.m_body = std::move(message.body());
  return response;
}

}  // namespace

struct HttpClient::Connection {
  explicit Connection(asio::io_context& io) : m_stream(tcp::socket(io)) {}

  // Input on an idle connection means that the server closed it or that its
  // responses no longer match its requests.
  bool IsUsable() { return m_buffer.size() == 0 && m_stream.IsOpenAndIdle(); }

  FiberStream m_stream;
  beast::flat_buffer m_buffer{kReadBufferLimit};

  /// An idle connection is not used again after this time.
  TimePoint m_usable_until;
};

HttpClient::HttpClient(const HttpClientSettings& settings)
    : m_settings(settings) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::TakeIdleConnection(
    const Address& address) {
  auto& idle = m_idle_connections[address.ToString()];
  while (!idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle.back());
    idle.pop_back();
    if (Clock::now() < connection->m_usable_until && connection->IsUsable()) {
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<HttpClient::Connection> HttpClient::Connect(
    const Address& address,
    TimePoint deadline,
    ExchangeResult& result) {
  auto connection = std::make_unique<Connection>(ThreadIoContext());
  const tcp::endpoint endpoint(asio::ip::make_address(address.m_host),
                               address.m_port);
  connection->m_stream.SetDeadline(
      std::min(deadline, Clock::now() + m_settings.m_connect_timeout));
  const error_code failure = connection->m_stream.Connect(endpoint);
  if (failure) {
    result.m_timed_out = failure == asio::error::timed_out;
    result.m_connection_refused = failure == asio::error::connection_refused;
    return nullptr;
  }
  connection->m_stream.EnableImmediateWrites();
  EnableKeepAlive(connection->m_stream.GetSocket());
  return connection;
}

void HttpClient::ReturnToPool(const Address& address,
                              std::unique_ptr<Connection> connection) {
  auto& idle = m_idle_connections[address.ToString()];
  if (idle.size() < m_settings.m_max_idle_connections) {
    idle.push_back(std::move(connection));
  }
}

ExchangeResult HttpClient::Exchange(const Address& address,
                                    const HttpRequest& request,
                                    TimePoint deadline,
                                    const ExchangeOptions& options) {
  ExchangeResult result;
  std::unique_ptr<Connection> connection =
      options.m_force_new_connection ? nullptr : TakeIdleConnection(address);
  if (!connection) {
    connection = Connect(address, deadline, result);
  }
  if (!connection) {
    return result;
  }
  const auto message = ToMessage(request, address);
  const bool cancelled =
      request.m_cancellation && request.m_cancellation->IsCancelled();
  if (cancelled || (options.m_before_send && !options.m_before_send())) {
    ReturnToPool(address, std::move(connection));
    return result;
  }
  result.m_progress = ExchangeProgress::kMaybeSent;
  const CancellationScope scope(request.m_cancellation, [&connection] {
    // Closing the connection tells the server to stop working on the request.
    connection->m_stream.Abort();
  });
  connection->m_stream.SetDeadline(deadline);
  error_code failure;
  http::write(connection->m_stream, message, failure);
  http::response_parser<http::string_body> parser;
  parser.body_limit(m_settings.m_body_limit);
  if (!failure) {
    http::read(connection->m_stream, connection->m_buffer, parser, failure);
  }
  if (failure) {
    // The connection is reset, so that a late response is never taken for the
    // response to a later request, and a cancelled or timed-out call never
    // arrives at a server that becomes reachable again.
    connection->m_stream.Abort();
    result.m_timed_out = failure == asio::error::timed_out;
    return result;
  }
  result.m_ok = true;
  const bool keep_alive = parser.get().keep_alive();
  result.m_response = ToResponse(parser.release());
  connection->m_usable_until =
      Clock::now() +
      MaxIdleTimeOf(result.m_response, m_settings.m_max_idle_time);
  const bool matches_request = !options.m_matches_request ||
                               options.m_matches_request(result.m_response);
  if (keep_alive && matches_request) {
    ReturnToPool(address, std::move(connection));
  }
  return result;
}

HttpResponse HttpClient::Call(const Address& address,
                              const HttpRequest& request,
                              Duration timeout) {
  ExchangeResult result = Exchange(address, request, Clock::now() + timeout);
  if (result.m_ok) {
    return std::move(result.m_response);
  }
  const Execution execution =
      result.m_progress == ExchangeProgress::kNothingSent ? Execution::kNotRun
                                                          : Execution::kUnknown;
  throw Error(
      result.m_timed_out ? ErrorCode::kDeadlineExceeded : ErrorCode::kNetwork,
      execution, address.ToString());
}

}  // namespace foxtail
