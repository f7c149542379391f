#pragma once

#include <json/value.h>

#include <string>

#include "control/control_messages.h"
#include "core/time.h"
#include "runtime/http_client.h"

namespace foxtail {

/// Calls the JSON-RPC methods of a control process.
class ControlRpcClient {
 public:
  /// `timeout` bounds each call.
  ControlRpcClient(HttpClient& client, std::string secret, Duration timeout);

  /// Calls a method and returns its result. Throws the error that the control
  /// process responded with, `Error(kNetwork)` or `Error(kMessageMalformed)`.
  Json::Value Call(const std::string& address,
                   const std::string& method,
                   const Json::Value& parameters) const;

  /// Requests a standby's promise for the lease holder `self`; returns whether
  /// the promise was given.
  bool RequestPromise(const RequestPromiseCommand& command,
                      const ControlProcess& self) const;

  /// Returns the identity and data centre of another control process.
  PeerResponse Hello(const std::string& address) const;

 private:
  HttpClient& m_client;
  std::string m_secret;
  Duration m_timeout;
};

}  // namespace foxtail
