#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"
#include "runtime/http_message.h"
#include "traffic/dispatch_system.h"

namespace foxtail {

/// Header that says whether the request ran: "not_run", "ran" or "unknown".
inline constexpr const char* kExecutionHeader = "x-execution";

/// Header that marks an error of the project in an answer between entries.
inline constexpr const char* kErrorHeader = "x-foxtail-error";

/// Returns the secret of "authorization: Bearer SECRET", or an empty text.
std::string BearerSecret(const HttpRequest& request);

/// Removes from a caller's request everything that must not travel on: fields
/// of the connection, credentials, and fields reserved for the project. Throws
/// `Error(kRequestMalformed)` when the target holds the secret.
void StripRequest(HttpRequest& request, const std::string& secret);

/// Hash of what the request asks for: method, target and body.
uint64_t FingerprintOf(const HttpRequest& request);

/// Builds the request to a backend server from a stripped one.
HttpRequest BuildBackendRequest(const HttpRequest& stripped,
                                const DispatchQuery& query,
                                uint64_t epoch,
                                const Now& now);

/// Builds the answer to the caller from a backend server's.
HttpResponse BuildClientResponse(HttpResponse response);

/// Builds the request to another entry's dispatcher from a stripped one.
HttpRequest BuildDispatchRequest(const HttpRequest& stripped,
                                 const DispatchQuery& query,
                                 const std::string& cluster_secret,
                                 TimePoint now);

/// Takes the query out of a request built by `BuildDispatchRequest`. Throws
/// `Error(kMessageMalformed)`.
DispatchQuery ExtractDispatchQuery(HttpRequest& request, TimePoint now);

/// Marks an error's response for another entry.
HttpResponse BuildDispatchErrorResponse(const Error& error);

}  // namespace foxtail
