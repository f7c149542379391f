#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"
#include "runtime/http_message.h"
#include "traffic/dispatch_system.h"

namespace foxtail {

/// Header that states whether the request was executed: "not_run", "ran" or
/// "unknown".
inline constexpr const char* kExecutionHeader = "x-execution";

/// Header that marks the error responses that entries send to each other, as
/// opposed to a backend server's responses.
inline constexpr const char* kErrorHeader = "x-foxtail-error";

/// Returns the secret of "authorization: Bearer SECRET", or an empty string.
std::string BearerSecret(const HttpRequest& request);

/// Removes the header fields that must not be forwarded: fields of the
/// connection, credentials, and fields reserved for the project. Throws
/// `Error(kRequestMalformed)` if the target contains `secret`.
void StripRequest(HttpRequest& request, const std::string& secret);

/// Returns the hash of the method, target and body.
uint64_t FingerprintOf(const HttpRequest& request);

/// Builds the request to a backend server from a stripped one.
HttpRequest BuildBackendRequest(const HttpRequest& stripped,
                                const DispatchQuery& query,
                                uint64_t epoch,
                                const Now& now);

/// Builds the response to the client from a backend server's response.
HttpResponse BuildClientResponse(HttpResponse response);

/// Builds the request to another entry's dispatcher from a stripped one.
HttpRequest BuildDispatchRequest(const HttpRequest& stripped,
                                 const DispatchQuery& query,
                                 const std::string& cluster_secret,
                                 TimePoint now);

/// Extracts the query from a request built by `BuildDispatchRequest`, and
/// strips the request. Throws `Error(kMessageMalformed)`.
DispatchQuery ExtractDispatchQuery(HttpRequest& request, TimePoint now);

/// Builds an error response to another entry, marked with `kErrorHeader`.
HttpResponse BuildDispatchErrorResponse(const Error& error);

}  // namespace foxtail
