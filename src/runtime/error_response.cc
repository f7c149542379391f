#include "runtime/error_response.h"

#include "core/json.h"

namespace foxtail {
namespace {

Execution ExecutionFromName(const std::string& name) {
  if (name == NameOf(Execution::kNotRun)) {
    return Execution::kNotRun;
  }
  return name == NameOf(Execution::kRan) ? Execution::kRan
                                         : Execution::kUnknown;
}

}  // namespace

HttpResponse ToErrorResponse(const Error& error) {
  const ErrorInfo& info = InfoOf(error.GetCode());
  Json::Value body;
  body["error"] = std::string(info.m_name);
  body["execution"] = std::string(NameOf(error.GetExecution()));
  body["detail"] = error.GetDetail();
  body["brief"] = std::string(info.m_brief);
  HttpResponse response;
  response.m_status = info.m_http_status;
  response.m_headers.Set("content-type", "application/json");
  response.m_headers.Set("x-execution", NameOf(error.GetExecution()));
  response.m_body = JsonText(body) + "\n";
  return response;
}

HttpResponse HandleCatchingErrors(
    const std::function<HttpResponse(HttpRequest&)>& handler,
    HttpRequest& request) {
  try {
    return handler(request);
  } catch (const Error& error) {
    return ToErrorResponse(error);
  } catch (const std::exception&) {
    return ToErrorResponse(Error(ErrorCode::kInternal));
  }
}

Error ParseErrorResponse(const HttpResponse& response, ErrorCode fallback) {
  Json::Value body;
  if (!TryParseJson(response.m_body, body) || !body.isObject() ||
      !body["error"].isString() || !body["execution"].isString()) {
    return Error(fallback, "status " + std::to_string(response.m_status));
  }
  return Error(ErrorCodeFromName(body["error"].asString()),
               ExecutionFromName(body["execution"].asString()),
               body["detail"].isString() ? body["detail"].asString() : "");
}

}  // namespace foxtail
