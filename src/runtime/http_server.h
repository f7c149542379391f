#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "core/error.h"
#include "core/time.h"
#include "runtime/address.h"
#include "runtime/http_message.h"
#include "runtime/resource_account.h"

namespace foxtail {

/// Limits of an `HttpServer`.
struct HttpServerSettings {
  /// Maximum size of the header block of a request, bytes.
  size_t m_header_limit = 16 * 1024;

  /// Maximum size of a request body, bytes.
  size_t m_body_limit = 1024 * 1024;

  /// Maximum number of open connections. Further connections are closed as soon
  /// as they are accepted.
  size_t m_connection_limit = 4096;

  /// Time limit for receiving a whole request from its first bytes on, and
  /// again for sending its response.
  Duration m_read_timeout = std::chrono::seconds(10);

  /// Maximum time that a connection waits for its next request.
  Duration m_idle_timeout = std::chrono::seconds(60);

  /// Number of requests of one connection that are read before the first of
  /// them is answered. Only requests with safe methods are read ahead.
  size_t m_max_pipelined = 8;

  /// Whether several listeners may share the port.
  bool m_reuse_port = false;
};

class HttpServerConnection;

/// Another socket has the address of a server.
class AddressInUseError : public Error {
 public:
  using Error::Error;
};

/// HTTP/1.1 server on the fibers of the calling thread. Requests of a
/// connection are answered in order.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(HttpRequest&)>;

  /// Binds the address. Throws `AddressInUseError` or
  /// `Error(kSettingInvalid)` when the address cannot be bound.
  HttpServer(const Address& address,
             const HttpServerSettings& settings,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Counts all connections and what is held for them in `account`, which
  /// replaces the limit on connections and closes connections to make room.
  /// Must be called before `Start`.
  void UseAccount(std::shared_ptr<ResourceAccount> account);

  /// Starts a fiber that accepts connections, and returns at once.
  void Start();

  /// Replaces the limits for requests that are read from now on.
  void SetLimits(const HttpServerSettings& settings) { m_settings = settings; }

  /// Adds `Connection: close` to all further responses. Connections are still
  /// accepted.
  void StartDraining() { m_draining = true; }

  /// Stops listening, answers requests in progress and those of connections
  /// that were waiting to be accepted, closes idle connections and returns when
  /// all are closed or `timeout` has passed. Returns whether all were closed.
  bool Stop(Duration timeout);

  /// Returns the bound port, which differs from the requested one when that was
  /// 0.
  uint16_t GetPort() const;

  size_t GetConnectionCount() const { return m_connections.size(); }

  const HttpServerSettings& GetSettings() const { return m_settings; }
  const Handler& GetHandler() const { return m_handler; }

  /// Returns the account, or null if there is none.
  const std::shared_ptr<ResourceAccount>& GetAccount() const {
    return m_account;
  }

  /// Returns whether connections are closed after the next response.
  bool IsClosingConnections() const { return m_draining || m_stopping; }

 private:
  void AcceptLoop();
  void AcceptWaiting();
  void Serve(boost::asio::ip::tcp::socket socket);

  HttpServerSettings m_settings;
  Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::list<std::shared_ptr<HttpServerConnection>> m_connections;
  std::shared_ptr<ResourceAccount> m_account;
  std::map<ResourceAccount::ConnectionId, HttpServerConnection*> m_accounted;
  bool m_accepting = false;
  bool m_draining = false;
  bool m_stopping = false;
};

}  // namespace foxtail
