#pragma once

#include <functional>

#include "core/error.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Builds the response that reports an error: its status, a JSON body with
/// `error`, `execution`, `detail` and `brief`, and the header x-execution.
HttpResponse ToErrorResponse(const Error& error);

/// Calls the handler; an exception becomes its error response.
HttpResponse HandleCatchingErrors(
    const std::function<HttpResponse(HttpRequest&)>& handler,
    HttpRequest& request);

/// Rebuilds the error that a response of `ToErrorResponse` reports. Falls back
/// to `fallback` when the body is something else.
Error ParseErrorResponse(const HttpResponse& response, ErrorCode fallback);

}  // namespace foxtail
