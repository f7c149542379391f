#include "daemon/control_rpc_client.h"

#include "core/error.h"
#include "runtime/address.h"
#include "runtime/cluster_request.h"
#include "runtime/error_response.h"
#include "runtime/rpc_client.h"

namespace foxtail {
namespace {

constexpr int kStatusOk = 200;

// Methods answer {"ok": ...} or {"error", "detail", "faults"}.
Json::Value ResultOrThrow(const Json::Value& answer) {
  if (answer.isObject() && answer.isMember("error")) {
    std::string detail = answer["detail"].asString();
    for (const Json::Value& fault : answer["faults"]) {
      detail += "\n  " + fault.asString();
    }
    throw Error(ErrorCodeFromName(answer["error"].asString()), detail);
  }
  return answer["ok"];
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
    return response.m_body;
  };
  Json::Value result;
  std::string failure;
  if (!CallRpc(transport, method, parameters, result, failure)) {
    throw Error(ErrorCode::kMessageMalformed, failure);
  }
  return ResultOrThrow(result);
}

bool ControlRpcClient::AskPromise(const struct AskPromise& ask,
                                  const ControlInstance& self) const {
  Json::Value parameters;
  parameters["cell"] = ask.m_cell_name;
  parameters["instance"] = self.m_instance;
  parameters["address"] = self.m_address;
  parameters["epoch"] = Json::Int64(ask.m_epoch);
  // A restarted standby is another instance and may not promise for this one.
  parameters["standby"] = ask.m_standby.m_instance;
  return Call(ask.m_standby.m_address, "promise", parameters).asBool();
}

PeerAnswer ControlRpcClient::Hello(const std::string& address) const {
  const Json::Value answer =
      Call(address, "hello", Json::Value(Json::objectValue));
  return {{answer["instance"].asString(), answer["address"].asString()},
          answer["data_centre"].asString()};
}

}  // namespace foxtail
