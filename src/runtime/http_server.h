#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>

#include "core/time.h"
#include "runtime/address.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Limits of an `HttpServer`.
struct HttpServerSettings {
  /// Largest accepted header block, bytes.
  size_t m_header_limit = 16 * 1024;

  /// Largest accepted body, bytes.
  size_t m_body_limit = 1024 * 1024;

  /// Most connections at once; one more is closed at once.
  size_t m_connection_limit = 4096;

  /// Longest time a caller may take to send one whole request.
  Duration m_read_timeout = std::chrono::seconds(10);

  /// Longest time a connection may wait for its next request.
  Duration m_idle_timeout = std::chrono::seconds(60);

  /// Whether several listeners may share the port.
  bool m_reuse_port = false;
};

/// HTTP/1.1 server on the fibers of the calling thread. Each connection has one
/// fiber, so requests of a connection are answered in order.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(HttpRequest&)>;

  /// Binds the address. Throws `Error(kSettingInvalid)` when it is in use.
  HttpServer(const Address& address,
             const HttpServerSettings& settings,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts accepting in a fiber and returns at once.
  void Start();

  /// Replaces the limits for requests that are read from now on.
  void SetLimits(const HttpServerSettings& settings) { m_settings = settings; }

  /// Answers from now on with `Connection: close`; goes on accepting.
  void StartDraining() { m_draining = true; }

  /// Stops accepting, answers requests in progress, closes idle connections and
  /// returns when all are closed or `timeout` has passed. Returns whether all
  /// were closed.
  bool Stop(Duration timeout);

  /// Port in use; differs from the requested one when that was 0.
  uint16_t GetPort() const;

  size_t GetConnectionCount() const { return m_connections.size(); }

  /// One accepted connection.
  struct Connection;

 private:
  void AcceptLoop();
  void ServeConnection(Connection& connection);
  bool ServeRequest(Connection& connection);
  HttpResponse HandleRequest(Connection& connection, HttpRequest& request);

  HttpServerSettings m_settings;
  Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::list<Connection*> m_connections;
  bool m_accepting = false;
  bool m_draining = false;
  bool m_stopping = false;
};

}  // namespace foxtail
