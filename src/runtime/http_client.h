#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "runtime/address.h"
#include "runtime/http_message.h"

namespace foxtail {

/// How far a failed exchange got. Only `kNothingSent` proves that the other
/// side cannot have seen the request.
enum class ExchangeProgress {
  kNothingSent,
  kMaybeSent,
};

/// Outcome of one exchange: a response, or how far it got.
struct ExchangeResult {
  bool m_ok = false;
  bool m_timed_out = false;

  /// The other side has no listener on the port, so its process is gone.
  bool m_connection_refused = false;
  ExchangeProgress m_progress = ExchangeProgress::kNothingSent;
  HttpResponse m_response;
};

/// What an exchange asks for beyond its request.
struct ExchangeOptions {
  /// Runs after the connection is made and immediately before the first byte is
  /// written; when it returns false nothing is sent.
  std::function<bool()> m_before_send = nullptr;

  /// Returns whether the response belongs to the request. If not, the
  /// connection is out of step and is not used again.
  std::function<bool(const HttpResponse&)> m_matches_request = nullptr;

  /// Takes no idle connection: a late second answer to an earlier sending of
  /// the same request could not be told from the answer to this one.
  bool m_force_new_connection = false;
};

/// Limits of an `HttpClient`.
struct HttpClientSettings {
  /// Most idle connections kept per address.
  size_t m_max_idle_connections = 64;

  /// Longest time a connection is kept idle. A shorter timeout that the other
  /// side states in `Keep-Alive` goes first.
  Duration m_max_idle_time = std::chrono::seconds(60);

  /// Longest time for a new connection, within the deadline.
  Duration m_connect_timeout = std::chrono::seconds(5);

  /// Largest accepted response body, bytes.
  size_t m_body_limit = 64 * 1024 * 1024;
};

/// HTTP/1.1 client with a pool of idle connections per address, on the fibers
/// of one thread. It never repeats a request by itself.
class HttpClient {
 public:
  explicit HttpClient(const HttpClientSettings& settings = {});
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole response by `deadline`. When the
  /// request's cancellation is triggered the connection is closed. A request
  /// without a Host field gets the address.
  ExchangeResult Exchange(const Address& address,
                          const HttpRequest& request,
                          TimePoint deadline,
                          const ExchangeOptions& options = {});

  /// As above, but throws: `Error(kNetwork)`, with execution "not run" when
  /// nothing was sent, or `Error(kDeadlineExceeded)`.
  HttpResponse Call(const Address& address,
                    const HttpRequest& request,
                    Duration timeout);

 private:
  struct Connection;

  std::unique_ptr<Connection> TakeIdleConnection(const Address& address);
  std::unique_ptr<Connection> Connect(const Address& address,
                                      TimePoint deadline,
                                      ExchangeResult& result);
  void ReturnToPool(const Address& address,
                    std::unique_ptr<Connection> connection);

  HttpClientSettings m_settings;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      m_idle_connections;
};

}  // namespace foxtail
