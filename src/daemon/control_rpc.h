#pragma once

#include <json/value.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <string>

#include "daemon/control_loop.h"
#include "daemon/operator_service.h"
#include "runtime/rpc_server.h"

namespace foxtail {

/// JSON-RPC methods of a control process, for operators and for other control
/// processes. This class only decodes parameters and encodes results.
class ControlRpc : public jsonrpc::AbstractServer<ControlRpc> {
 public:
  ControlRpc(RpcConnector& connector,
             ControlLoop& loop,
             OperatorService& operators);

  void Hello(const Json::Value& parameters, Json::Value& result);
  void Promise(const Json::Value& parameters, Json::Value& result);
  void Apply(const Json::Value& parameters, Json::Value& result);
  void Change(const Json::Value& parameters, Json::Value& result);
  void PlanShow(const Json::Value& parameters, Json::Value& result);
  void Confirm(const Json::Value& parameters, Json::Value& result);
  void Abandon(const Json::Value& parameters, Json::Value& result);
  void History(const Json::Value& parameters, Json::Value& result);
  void Status(const Json::Value& parameters, Json::Value& result);
  void Explain(const Json::Value& parameters, Json::Value& result);
  void Release(const Json::Value& parameters, Json::Value& result);

 private:
  ControlLoop& m_loop;
  OperatorService& m_operators;
};

}  // namespace foxtail
