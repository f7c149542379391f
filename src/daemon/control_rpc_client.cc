#include "daemon/control_rpc_client.h"

#include "core/error.h"
#include "core/json.h"
#include "runtime/address.h"
#include "runtime/cluster_request.h"
#include "runtime/error_response.h"
#include "runtime/rpc_client.h"

namespace foxtail {
namespace {

constexpr int kStatusOk = 200;

// The result of a method is {"ok": ...} or {"error", "detail", "faults"}.
Json::Value ResultOrThrow(const Json::Value& result) {
  if (result.isObject() && result.isMember("error")) {
    std::string detail = result["detail"].asString();
    for (const Json::Value& error : result["faults"]) {
      detail += "\n  " + error.asString();
    }
    throw Error(ErrorCodeFromName(result["error"].asString()), detail);
  }
  return result["ok"];
}

}  // namespace

ControlRpcClient::ControlRpcClient(HttpClient& client,
                                   std::string secret,
                                   Duration timeout)
    : m_client(client), m_secret(std::move(secret)), m_timeout(timeout) {}

Json::Value ControlRpcClient::Call(const std::string& address,
                                   const std::string& method,
                                   const Json::Value& parameters) const {
  const RpcTransport transport = [&](const std::string& body) {
    const HttpResponse response =
        m_client.Call(ParseAddress(address),
                      BuildClusterRequest("/rpc", m_secret, body), m_timeout);
    if (response.m_status != kStatusOk) {
      throw ParseErrorResponse(response, ErrorCode::kNetwork);
    }
    // The parser that reads the body next doesn't limit its nesting.
    ParseJson(response.m_body);
    return response.m_body;
  };
  Json::Value result;
  std::string error_text;
  if (!CallRpc(transport, method, parameters, result, error_text)) {
    throw Error(ErrorCode::kMessageMalformed, error_text);
  }
  return ResultOrThrow(result);
}

bool ControlRpcClient::RequestPromise(const RequestPromiseCommand& command,
                                      const ControlProcess& self) const {
  Json::Value parameters;
  parameters["cell"] = command.m_cell_name;
  parameters["instance"] = self.m_incarnation;
  parameters["address"] = self.m_address;
  parameters["epoch"] = Json::Int64(command.m_epoch);
  // The promise counts only for this incarnation of the standby: a restarted
  // standby must not give it.
  parameters["standby"] = command.m_standby.m_incarnation;
  return Call(command.m_standby.m_address, "promise", parameters).asBool();
}

PeerResponse ControlRpcClient::Hello(const std::string& address) const {
  const Json::Value response =
      Call(address, "hello", Json::Value(Json::objectValue));
  return {{response["instance"].asString(), response["address"].asString()},
          response["data_centre"].asString()};
}

}  // namespace foxtail
