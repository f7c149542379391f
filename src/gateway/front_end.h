#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "core/time.h"
#include "runtime/http_message.h"

namespace foxtail {

/// A client's request as far as decisions need it.
struct ClientRequest {
  std::string m_request_id;
  std::string m_host;

  /// Path without the query.
  std::string m_path;
  std::string m_api_key;
  std::optional<Duration> m_deadline;
  std::optional<uint32_t> m_shard_key;
};

/// What a backend server gets with a request.
struct ForwardingMetadata {
  std::string m_server_id;
  std::string m_workspace;
  Duration m_deadline{};
};

/// How loaded a backend server says it is.
struct LoadReport {
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 1;

  /// How long work takes on its machine now, relative to the usual, if it says.
  std::optional<double> m_slowdown;
};

/// What a backend server's response means.
enum class ResponseKind {
  /// The server's complete answer, of any status.
  kComplete,
  /// The server did not run the request.
  kNotRun,
  /// Another server has the address, or this one does not hold the key.
  kMisdirected,
  /// Not an answer to this request; it is unknown whether it ran.
  kInvalid,
};

/// A backend server's response as far as decisions need it.
struct ServerResponse {
  ResponseKind m_kind = ResponseKind::kInvalid;
  std::optional<LoadReport> m_load;
};

/// How clients' requests and servers' answers are encoded. Decisions use only
/// the decoded types, so that another front can use them.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;

  /// Decodes a request. Throws `Error(kRequestMalformed)`.
  virtual ClientRequest Decode(const HttpRequest& request) const = 0;

  /// Builds the request for a server from the client's.
  virtual HttpRequest BuildServerRequest(
      const HttpRequest& request,
      const ForwardingMetadata& addressee) const = 0;

  /// Judges a server's response to a request.
  virtual ServerResponse Classify(const ClientRequest& request,
                                  const HttpResponse& response) const = 0;

  /// Builds the client's response from the server's.
  virtual HttpResponse BuildClientResponse(HttpResponse response) const = 0;

  /// Builds the response that reports a failure. `retry_after` tells the client
  /// when to come back with a request that did not run.
  virtual HttpResponse BuildErrorResponse(const Error& error,
                                          Duration retry_after) const = 0;
};

}  // namespace foxtail
