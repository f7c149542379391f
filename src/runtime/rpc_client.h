#pragma once

#include <json/value.h>

#include <functional>
#include <string>

namespace foxtail {

/// Sends one JSON-RPC request body and returns the response body; may throw.
using RpcTransport = std::function<std::string(const std::string&)>;

/// Calls a JSON-RPC method. Returns whether the server responded with a result;
/// otherwise `failure` receives the message of the JSON-RPC error. Exceptions
/// of the transport propagate to the caller.
bool CallRpc(const RpcTransport& transport,
             const std::string& method,
             const Json::Value& parameters,
             Json::Value& result,
             std::string& failure);

}  // namespace foxtail
