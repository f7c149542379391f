#pragma once

#include <functional>

#include "core/error.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Builds the response that reports an error: its status, a JSON body with
/// `error`, `execution`, `detail` and `brief`, and the header x-execution.
HttpResponse ToErrorResponse(const Error& error);

/// Calls the handler and converts an exception into an error response. Any
/// exception other than `Error` is reported as `kInternal`.
HttpResponse HandleCatchingErrors(
    const std::function<HttpResponse(HttpRequest&)>& handler,
    HttpRequest& request);

/// Returns the error that a response of `ToErrorResponse` reports, or an error
/// with the code `fallback` when the body has another format.
Error ParseErrorResponse(const HttpResponse& response, ErrorCode fallback);

}  // namespace foxtail
