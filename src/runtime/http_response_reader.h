#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "runtime/cancellation.h"
#include "runtime/http_client_connection.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Reads one response from a connection, its body in pieces. Resets the
/// connection if the response breaks off or is given up before its end.
class HttpResponseReader : public BodyStream {
 public:
  /// Called with the connection once the response is complete.
  using OnComplete = std::function<void(std::unique_ptr<HttpClientConnection>)>;

  /// While the reader exists, `cancellation` resets the connection.
  HttpResponseReader(std::unique_ptr<HttpClientConnection> connection,
                     std::shared_ptr<Cancellation> cancellation);
  ~HttpResponseReader() override;

  HttpClientConnection& GetConnection() { return *m_connection; }

  /// Reads the head of the final response, behind interim ones, and fails if
  /// its status is not one of a final response; with `has_body` false the
  /// response has no body whatever its head says, as that to HEAD.
  boost::system::error_code ReadHead(bool has_body, HttpResponse& response);

  /// Appends to `body` until the body is complete or `limit` bytes long.
  boost::system::error_code ReadBody(std::string& body, size_t limit);

  bool IsDone() const { return m_parser->is_done(); }

  /// Returns whether another response may follow: not if this one says so, nor
  /// if its body ends with the connection.
  bool KeepsAlive() const { return m_parser->keep_alive(); }
  void SetOnComplete(OnComplete on_complete) {
    m_on_complete = std::move(on_complete);
  }

  /// Returns the connection to its owner. Requires `IsDone()`.
  void Complete();

  void Read(std::string& piece) override;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::system::error_code ReadOneHead(bool has_body);

  std::unique_ptr<HttpClientConnection> m_connection;
  CancellationScope m_cancellation_scope;

  /// A new one for each head.
  std::optional<Parser> m_parser;
  OnComplete m_on_complete;
};

}  // namespace foxtail
