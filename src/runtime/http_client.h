#pragma once

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "runtime/address.h"
#include "runtime/http_message.h"

namespace foxtail {

struct HttpClientConnection;
class HttpResponseReader;
class ResourceAccount;

/// Whether a failed exchange may have sent its request. Only `kNothingSent`
/// proves that the server cannot have received the request.
enum class ExchangeProgress {
  kNothingSent,
  kMaybeSent,
};

/// Result of one exchange: a response, or why and at which point the exchange
/// failed.
struct ExchangeResult {
  bool m_ok = false;
  bool m_timed_out = false;

  /// No process listens on the port, so the server's process is gone.
  bool m_connection_refused = false;

  /// The server closed the new connection before anything was sent, as it does
  /// over its limit of connections.
  bool m_closed_at_once = false;

  /// This process has no descriptor for another connection.
  bool m_no_descriptor = false;
  ExchangeProgress m_progress = ExchangeProgress::kNothingSent;
  HttpResponse m_response;
};

/// Options of one exchange.
struct ExchangeOptions {
  /// Called once the connection is open, immediately before the first byte is
  /// written. When it returns false, nothing is sent.
  std::function<bool()> m_before_send = nullptr;

  /// Returns whether the response belongs to the request. If not, the responses
  /// on the connection no longer match its requests, and the connection is not
  /// used again. Decides on the connection only, so it is not called for a
  /// response that ends it; must have no side effects.
  std::function<bool(const HttpResponse&)> m_matches_request = nullptr;

  /// Opens a new connection instead of reusing an idle one. On a reused
  /// connection, a late second response to an earlier attempt of the same
  /// request could not be told from the response to this attempt.
  bool m_force_new_connection = false;

  /// Closes the connection after the exchange, so that no later request takes a
  /// second copy of the response for its own.
  bool m_close_connection = false;

  /// A longer body, in bytes, is returned in pieces: the response holds this
  /// much of it and a stream of the rest, which must be read or destroyed
  /// before the client. Bodies over the client's limit are then accepted.
  size_t m_max_buffered_body = std::numeric_limits<size_t>::max();
};

/// Limits of an `HttpClient`.
struct HttpClientSettings {
  /// Maximum number of idle connections kept per address.
  size_t m_max_idle_connections = 64;

  /// Maximum time that a connection is kept idle. A shorter timeout that the
  /// server states in `Keep-Alive` takes precedence.
  Duration m_max_idle_time = std::chrono::seconds(60);

  /// Time limit for opening a connection, within the deadline of the exchange.
  Duration m_connect_timeout = std::chrono::seconds(5);

  /// A new connection is used after this time if the server has not closed it
  /// by then. A server that is over its limit of connections closes a new one
  /// at once, and a request that is already on its way may then have run.
  Duration m_settle_time{};

  /// Maximum size of a response body, bytes.
  size_t m_body_limit = 64 * 1024 * 1024;
};

/// HTTP/1.1 client with a pool of idle connections per address, on the fibers
/// of one thread. The client never retries a request on its own.
class HttpClient {
 public:
  explicit HttpClient(const HttpClientSettings& settings = {});
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Counts the connections in an account, which limits them.
  void UseAccount(std::shared_ptr<ResourceAccount> account) {
    m_account = std::move(account);
  }

  /// Sends a request and reads the response by `deadline`. When the request's
  /// cancellation is triggered, the connection is closed. A request
  /// without a Host field is sent with `address` as its Host.
  ExchangeResult Exchange(const Address& address,
                          const HttpRequest& request,
                          TimePoint deadline,
                          const ExchangeOptions& options = {});

  /// Like `Exchange`, but throws `Error(kDeadlineExceeded)` after a timeout and
  /// `Error(kNetwork)` after any other failure. The execution state of the
  /// error is `kNotRun` when nothing was sent, otherwise `kUnknown`.
  HttpResponse Call(const Address& address,
                    const HttpRequest& request,
                    Duration timeout);

 private:
  std::unique_ptr<HttpClientConnection> TakeIdleConnection(
      const Address& address);
  std::unique_ptr<HttpClientConnection> Connect(const Address& address,
                                                TimePoint deadline,
                                                ExchangeResult& result);
  bool TryTakeDescriptor();
  bool CloseIdleConnection();
  void ReturnToPool(const Address& address,
                    std::unique_ptr<HttpClientConnection> connection);
  boost::system::error_code ReadResponse(HttpResponseReader& reader,
                                         const HttpRequest& request,
                                         const ExchangeOptions& options,
                                         HttpResponse& response) const;

  HttpClientSettings m_settings;
  std::shared_ptr<ResourceAccount> m_account;
  std::unordered_map<std::string,
                     std::vector<std::unique_ptr<HttpClientConnection>>>
      m_idle_connections;
};

}  // namespace foxtail
