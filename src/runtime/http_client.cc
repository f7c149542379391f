#include "runtime/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>
#include <charconv>

#include "core/error.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_response_reader.h"
#include "runtime/resource_account.h"

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

// A connection that was closed to make room ends within a few switches between
// fibers.
constexpr int kDescriptorAttempts = 4;
constexpr std::chrono::milliseconds kDescriptorDelay{1};

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

using BodyView = http::span_body<const char>;

// The message refers to the body of `request`.
http::request<BodyView> ToMessage(const HttpRequest& request,
                                  const Address& address) {
  http::request<BodyView> message;
  message.version(11);
  message.method_string(request.m_method);
  message.target(request.m_target);
  for (const HttpHeader& field : request.m_headers.All()) {
    message.insert(field.m_name, field.m_value);
  }
  if (message.count(http::field::host) == 0) {
    message.set(http::field::host, address.ToString());
  }
  message.body() = {request.m_body.View().data(), request.m_body.size()};
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

}  // namespace

HttpClient::HttpClient(const HttpClientSettings& settings)
    : m_settings(settings) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClientConnection> HttpClient::TakeIdleConnection(
    const Address& address) {
  auto& idle = m_idle_connections[address.ToString()];
  while (!idle.empty()) {
    std::unique_ptr<HttpClientConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (Clock::now() < connection->m_usable_until && connection->IsUsable()) {
      return connection;
    }
  }
  return nullptr;
}

// Returns whether the account has counted another connection.
bool HttpClient::TryTakeDescriptor() {
  for (int i = 0; i < kDescriptorAttempts; ++i) {
    if (m_account->TryOpenServerConnection(Clock::now())) {
      return true;
    }
    if (!CloseIdleConnection()) {
      boost::this_fiber::sleep_for(kDescriptorDelay);
    }
  }
  return false;
}

bool HttpClient::CloseIdleConnection() {
  for (auto& [address, idle] : m_idle_connections) {
    if (!idle.empty()) {
      idle.erase(idle.begin());
      return true;
    }
  }
  return false;
}

std::unique_ptr<HttpClientConnection> HttpClient::Connect(
    const Address& address,
    TimePoint deadline,
    ExchangeResult& result) {
  if (m_account && !TryTakeDescriptor()) {
    result.m_no_descriptor = true;
    return nullptr;
  }
  auto connection = std::make_unique<HttpClientConnection>(ThreadIoContext());
  if (m_account) {
    connection->m_slot = std::make_unique<ServerConnectionSlot>(m_account);
  }
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
  if (m_settings.m_settle_time > Duration(0)) {
    boost::this_fiber::sleep_for(m_settings.m_settle_time);
    if (!connection->m_stream.IsOpenAndIdle()) {
      result.m_closed_at_once = true;
      return nullptr;
    }
  }
  connection->m_stream.EnableImmediateWrites();
  EnableKeepAlive(connection->m_stream.GetSocket());
  return connection;
}

void HttpClient::ReturnToPool(
    const Address& address,
    std::unique_ptr<HttpClientConnection> connection) {
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
  std::unique_ptr<HttpClientConnection> connection =
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
  connection->m_stream.SetDeadline(deadline);
  auto reader = std::make_shared<HttpResponseReader>(std::move(connection),
                                                     request.m_cancellation);
  error_code failure;
  http::write(reader->GetConnection().m_stream, message, failure);
  if (!failure) {
    failure = ReadResponse(*reader, request, options, result.m_response);
  }
  if (failure) {
    result.m_timed_out = failure == asio::error::timed_out;
    return result;
  }
  result.m_ok = true;
  const bool reusable = !options.m_close_connection && reader->KeepsAlive() &&
                        (!options.m_matches_request ||
                         options.m_matches_request(result.m_response));
  reader->SetOnComplete([this, address, reusable,
                         max_idle_time = MaxIdleTimeOf(
                             result.m_response, m_settings.m_max_idle_time)](
                            std::unique_ptr<HttpClientConnection> finished) {
    finished->m_usable_until = Clock::now() + max_idle_time;
    if (reusable) {
      ReturnToPool(address, std::move(finished));
    }
  });
  if (reader->IsDone()) {
    reader->Complete();
  } else {
    result.m_response.m_body_stream = std::move(reader);
  }
  return result;
}

// Reads the head and the body, or the first part of a body that is passed on in
// pieces.
error_code HttpClient::ReadResponse(HttpResponseReader& reader,
                                    const HttpRequest& request,
                                    const ExchangeOptions& options,
                                    HttpResponse& response) const {
  error_code failure = reader.ReadHead(request.m_method != "HEAD", response);
  const bool in_pieces = options.m_max_buffered_body < m_settings.m_body_limit;
  const size_t limit =
      in_pieces ? options.m_max_buffered_body : m_settings.m_body_limit;
  if (!failure && !in_pieces && response.m_body_length > limit) {
    failure = http::make_error_code(http::error::body_limit);
  }
  if (!failure) {
    failure = reader.ReadBody(response.m_body, limit);
  }
  if (!failure && !in_pieces && !reader.IsDone()) {
    failure = http::make_error_code(http::error::body_limit);
  }
  return failure;
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
