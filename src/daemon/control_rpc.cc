#include "daemon/control_rpc.h"

#include <array>
#include <functional>

#include "core/error.h"
#include "core/json.h"
#include "daemon/status_report.h"

namespace foxtail {
namespace {

constexpr size_t kMaxHistoryPlans = 20;

struct Method {
  const char* m_name;
  void (ControlRpc::*m_handler)(const Json::Value&, Json::Value&);
};

constexpr std::array<Method, 11> kMethods = {{
    {"hello", &ControlRpc::Hello},
    {"promise", &ControlRpc::Promise},
    {"apply", &ControlRpc::Apply},
    {"change", &ControlRpc::Change},
    {"plan_show", &ControlRpc::PlanShow},
    {"confirm", &ControlRpc::Confirm},
    {"abandon", &ControlRpc::Abandon},
    {"history", &ControlRpc::History},
    {"status", &ControlRpc::Status},
    {"explain", &ControlRpc::Explain},
    {"release", &ControlRpc::Release},
}};

Json::Value ErrorToJson(const Error& error) {
  Json::Value value;
  value["error"] = std::string(InfoOf(error.GetCode()).m_name);
  value["detail"] = error.GetDetail();
  return value;
}

// Encodes an error of a method in its JSON-RPC result, so that the client
// receives the error code.
void Respond(Json::Value& result, const std::function<Json::Value()>& method) {
  try {
    result["ok"] = method();
  } catch (const Error& error) {
    result = ErrorToJson(error);
  } catch (const Json::Exception& error) {
    result = ErrorToJson(Error(ErrorCode::kMessageMalformed, error.what()));
  }
}

const char* NameOf(PlanState state) {
  constexpr std::array kNames = {"open", "confirmed", "abandoned"};
  return kNames.at(static_cast<size_t>(state));
}

Json::Value PlanToJson(const PlanRecord& plan) {
  Json::Value value;
  value["plan"] = plan.m_id;
  value["summary"] = plan.m_summary;
  value["state"] = NameOf(plan.m_state);
  value["base_version"] = Json::UInt64(plan.m_base_version);
  value["confirmed_version"] = Json::UInt64(plan.m_confirmed_version);
  value["moves"] = Json::UInt64(plan.m_moves);
  value["unavailable_ms"] = plan.m_unavailable_ms;
  value["changes"] = Json::Value(Json::arrayValue);
  for (const std::string& change : plan.m_changes) {
    value["changes"].append(change);
  }
  return value;
}

}  // namespace

ControlRpc::ControlRpc(RpcConnector& connector,
                       ControlLoop& loop,
                       OperatorService& operators)
    : jsonrpc::AbstractServer<ControlRpc>(connector),
      m_loop(loop),
      m_operators(operators) {
  for (const Method& method : kMethods) {
    bindAndAddMethod(jsonrpc::Procedure(method.m_name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     method.m_handler);
  }
}

void ControlRpc::Hello(const Json::Value&, Json::Value& result) {
  Respond(result, [&] {
    const ControlTables& tables = m_loop.GetTables();
    Json::Value self;
    self["instance"] = tables.m_self.m_incarnation;
    self["address"] = tables.m_self.m_address;
    self["data_centre"] = tables.m_data_centre;
    return self;
  });
}

void ControlRpc::Promise(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    const bool for_this_process = parameters["standby"].asString() ==
                                  m_loop.GetTables().m_self.m_incarnation;
    return Json::Value(
        for_this_process &&
        m_loop.HandlePromiseRequest(parameters["cell"].asString(),
                                    {parameters["instance"].asString(),
                                     parameters["address"].asString()},
                                    parameters["epoch"].asUInt64()));
  });
}

void ControlRpc::Apply(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    return PlanToJson(m_operators.ProposeDocument(parameters["document"]));
  });
}

void ControlRpc::Change(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    ConfigurationChange change;
    change.m_kind = parameters["kind"].asString();
    change.m_name = parameters["name"].asString();
    change.m_service = parameters["service"].asString();
    change.m_workspace = parameters["workspace"].asString();
    change.m_state = parameters["state"].asString();
    change.m_digest = parameters["digest"].asString();
    return PlanToJson(m_operators.ProposeChange(change));
  });
}

void ControlRpc::PlanShow(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    return PlanToJson(m_operators.ShowPlan(parameters["plan"].asString()));
  });
}

void ControlRpc::Confirm(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    Json::Value value;
    value["version"] =
        Json::UInt64(m_operators.Confirm(parameters["plan"].asString()));
    return value;
  });
}

void ControlRpc::Abandon(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    m_operators.Abandon(parameters["plan"].asString());
    return Json::Value(true);
  });
}

void ControlRpc::History(const Json::Value&, Json::Value& result) {
  Respond(result, [&] {
    Json::Value plans(Json::arrayValue);
    for (const PlanRecord& plan : m_operators.History(kMaxHistoryPlans)) {
      plans.append(PlanToJson(plan));
    }
    return plans;
  });
}

void ControlRpc::Status(const Json::Value&, Json::Value& result) {
  Respond(result,
          [&] { return BuildStatusReport(m_loop.GetTables(), Clock::now()); });
}

void ControlRpc::Explain(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    return ExplainKey(m_loop.GetTables(), parameters["service"].asString(),
                      parameters["key"].asString(), Clock::now());
  });
}

void ControlRpc::Release(const Json::Value& parameters, Json::Value& result) {
  Respond(result, [&] {
    m_operators.ReleaseCell(parameters["cell"].asString());
    return Json::Value(true);
  });
}

}  // namespace foxtail
