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

  /// Calls a method. Throws the typed error that the other side answered, or
  /// `Error(kNetwork)`.
  Json::Value Call(const std::string& address,
                   const std::string& method,
                   const Json::Value& parameters) const;

  /// Asks a standby for a promise; returns whether it was given.
  bool AskPromise(const struct AskPromise& ask,
                  const ControlProcess& self) const;

  /// Greets another control process; returns who it is.
  PeerAnswer Hello(const std::string& address) const;

 private:
  HttpClient& m_client;
  std::string m_secret;
  Duration m_timeout;
};

}  // namespace foxtail
