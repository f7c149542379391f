#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "core/time.h"
#include "runtime/http_message.h"
#include "scheduling/load_report.h"

namespace foxtail {

/// The fields of a client's request that routing decisions use.
struct ClientRequest {
  std::string m_request_id;
  std::string m_host;

  /// Path without the query.
  std::string m_path;
  std::string m_api_key;

  /// Time until the deadline, counted from the arrival of the request.
  std::optional<Duration> m_deadline;
  std::optional<uint32_t> m_shard_key;
};

/// Values that `BuildServerRequest` adds to a request for a backend server.
struct ForwardingMetadata {
  std::string m_server_id;
  std::string m_workspace;
  Duration m_time_left{};
};

/// Classification of a backend server's response.
enum class ResponseKind {
  /// A complete response from the server, of any status.
  kComplete,
  /// The server did not run the request.
  kNotRun,
  /// The address now belongs to another server, or the server does not own the
  /// key.
  kMisdirected,
  /// The response is not a valid response of this server to the request; it is
  /// unknown whether the request ran.
  kInvalid,
};

/// The parts of a backend server's response that routing decisions use.
struct ServerResponse {
  ResponseKind m_kind = ResponseKind::kInvalid;

  /// The response carries the id of the request, so that it is known not to be
  /// a second copy of an earlier one on the connection.
  bool m_is_identified = false;
  std::optional<LoadReport> m_load;

  /// The server is about to shut down and wants no further requests.
  bool m_leaving = false;

  /// For how long the server, which is overloaded, wants no further request
  /// from this host; 0 if it does not say.
  Duration m_pause{};
};

/// Decodes clients' requests and servers' responses, and encodes what is sent
/// to either. Routing decisions see only the typed results, so another front
/// end can reuse them.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;

  /// Decodes a client's request. Throws `Error(kRequestMalformed)`.
  virtual ClientRequest Decode(const HttpRequest& request) const = 0;

  /// Builds the request that is forwarded to a server from the client's
  /// request.
  virtual HttpRequest BuildServerRequest(
      const HttpRequest& request,
      const ForwardingMetadata& metadata) const = 0;

  /// Classifies a server's response to a request.
  virtual ServerResponse Classify(const ClientRequest& request,
                                  const HttpResponse& response) const = 0;

  /// Builds the client's response from the server's.
  virtual HttpResponse BuildClientResponse(HttpResponse response) const = 0;

  /// Builds the response that reports an error. `retry_after` is the delay
  /// after which the client should retry a request that did not run.
  virtual HttpResponse BuildErrorResponse(const Error& error,
                                          Duration retry_after) const = 0;
};

}  // namespace foxtail
