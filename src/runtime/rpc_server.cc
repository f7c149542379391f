#include "runtime/rpc_server.h"

#include "core/json.h"

namespace foxtail {

bool RpcConnector::SendResponse(const std::string& response, void* target) {
  *static_cast<std::string*>(target) = response;
  return true;
}

std::string RpcConnector::Handle(const std::string& request) {
  // The library's own parser recurses for up to 1,000 levels, which overflows
  // the stack of a fiber. It answers an empty body with a parse error.
  Json::Value ignored;
  const bool readable = TryParseJson(request, ignored);
  std::string response;
  OnRequest(readable ? request : "", &response);
  return response;
}

}  // namespace foxtail
