#pragma once

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <string>

namespace foxtail {

/// Passes bodies of HTTP requests to a JSON-RPC server of libjson-rpc-cpp. The
/// connector owns no thread and no socket.
class RpcConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* target) override;

  /// Dispatches one request body and returns the response body.
  std::string Handle(const std::string& request);
};

}  // namespace foxtail
