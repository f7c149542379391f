#include "ctl/ctl_commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <fstream>
#include <iterator>

#include "apps/program.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/json.h"
#include "ctl/config_check.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitPollPeriod{100};

Json::Value ReadDocument(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw Error(ErrorCode::kSettingInvalid,
                "FILE = '" + path + "'; allowed: a readable JSON file");
  }
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  return ParseJson(text);
}

}  // namespace

// A command: its name of one or two words, the number of arguments after the
// name, and its handler.
struct CtlCommands::Command {
  const char* m_first;
  const char* m_second;
  size_t m_argument_count;
  Handler m_handler;

  bool Matches(const std::vector<std::string>& arguments) const {
    const size_t name_length = m_second ? 2 : 1;
    return arguments[0] == m_first &&
           arguments.size() == name_length + m_argument_count &&
           (!m_second || arguments[1] == m_second);
  }
};

CtlCommands::CtlCommands(const CtlSettings& settings,
                         const ConfigReader& reader,
                         std::ostream& out)
    : m_settings(settings),
      m_reader(reader),
      m_out(out),
      m_rpc(m_client, settings.m_cluster_secret, settings.m_timeout) {}

int CtlCommands::Run() {
  static constexpr std::array<Command, 15> kCommands = {{
      {"apply", nullptr, 1, &CtlCommands::Apply},
      {"plan", "show", 1, &CtlCommands::PlanShow},
      {"confirm", nullptr, 1, &CtlCommands::Confirm},
      {"abandon", nullptr, 1, &CtlCommands::Abandon},
      {"status", nullptr, 0, &CtlCommands::Status},
      {"explain", nullptr, 2, &CtlCommands::Explain},
      {"key", "grant", 2, &CtlCommands::KeyGrant},
      {"key", "withdraw", 2, &CtlCommands::KeyWithdraw},
      {"datacentre", "leave", 1, &CtlCommands::DataCentreLeave},
      {"datacentre", "return", 1, &CtlCommands::DataCentreReturn},
      {"server", "drain", 2, &CtlCommands::ServerDrain},
      {"server", "return", 2, &CtlCommands::ServerReturn},
      {"cell", "release", 1, &CtlCommands::CellRelease},
      {"history", nullptr, 0, &CtlCommands::History},
      {"config", "check", 1, &CtlCommands::CheckConfig},
  }};
  for (const Command& command : kCommands) {
    if (command.Matches(m_settings.m_arguments)) {
      return (this->*command.m_handler)();
    }
  }
  throw Error(ErrorCode::kSettingInvalid,
              "verb = '" +
                  fmt::format("{}", fmt::join(m_settings.m_arguments, " ")) +
                  "'; allowed: the verbs listed by --help");
}

const std::string& CtlCommands::Argument(size_t index) const {
  return m_settings.m_arguments.at(index);
}

Json::Value CtlCommands::CallAny(const std::string& method,
                                 const Json::Value& parameters) {
  for (const std::string& control : m_settings.m_controls) {
    try {
      return m_rpc.Call(control, method, parameters);
    } catch (const Error& error) {
      // Another process is called only if this one is known not to have
      // executed the request.
      const bool try_next = error.GetCode() == ErrorCode::kNotController ||
                            (error.GetCode() == ErrorCode::kNetwork &&
                             error.GetExecution() == Execution::kNotRun);
      if (!try_next || control == m_settings.m_controls.back()) {
        throw;
      }
    }
  }
  throw Error(ErrorCode::kNetwork, "no control process");
}

int CtlCommands::Apply() {
  Json::Value parameters;
  parameters["document"] = ReadDocument(Argument(1));
  return FinishProposal(CallAny("apply", parameters));
}

int CtlCommands::PlanShow() {
  Json::Value parameters;
  parameters["plan"] = Argument(2);
  PrintPlan(CallAny("plan_show", parameters));
  return kExitDone;
}

int CtlCommands::Confirm() {
  return ConfirmPlan(Argument(1));
}

int CtlCommands::Abandon() {
  Json::Value parameters;
  parameters["plan"] = Argument(1);
  CallAny("abandon", parameters);
  m_out << "abandoned " << Argument(1) << "\n";
  return kExitDone;
}

int CtlCommands::FinishProposal(const Json::Value& plan) {
  PrintPlan(plan);
  const std::string id = plan["plan"].asString();
  if (m_settings.m_yes) {
    return ConfirmPlan(id);
  }
  if (!m_settings.m_json) {
    m_out << "confirm with: foxtailctl confirm " << id << "\n";
  }
  return kExitDone;
}

int CtlCommands::ConfirmPlan(const std::string& plan) {
  Json::Value parameters;
  parameters["plan"] = plan;
  const Json::Value response = CallAny("confirm", parameters);
  const uint64_t version = response["version"].asUInt64();
  m_out << "version " << version << " is confirmed\n";
  return m_settings.m_wait ? WaitInForce(version) : kExitDone;
}

int CtlCommands::WaitInForce(uint64_t version) {
  const TimePoint start = Clock::now();
  std::set<std::string> behind;
  size_t last_behind = SIZE_MAX;
  while (Clock::now() < start + m_settings.m_timeout) {
    behind.clear();
    size_t process_count = 0;
    if (IsInForce(version, behind, process_count)) {
      const auto elapsed =
          std::chrono::duration_cast<milliseconds>(Clock::now() - start);
      m_out << "in force at all " << process_count << " processes after "
            << elapsed.count() << " ms\n";
      return kExitDone;
    }
    if (behind.size() != last_behind) {
      last_behind = behind.size();
      m_out << "waiting for " << last_behind << " of " << process_count
            << " processes\n";
    }
    boost::this_fiber::sleep_for(kWaitPollPeriod);
  }
  for (const std::string& process : behind) {
    m_out << "not in force: " << process << "\n";
  }
  return kExitTimeout;
}

// Queries every control process, as each reports only the dispatchers of the
// cells that it controls. The version is not in force in a cell without a
// controller, or if no entry reports to the cell's controller.
bool CtlCommands::IsInForce(uint64_t version,
                            std::set<std::string>& behind,
                            size_t& process_count) {
  std::set<std::string> processes;
  std::set<std::string> cells;
  std::set<std::string> reported_cells;
  const auto record = [&](const std::string& process, uint64_t in_force) {
    processes.insert(process);
    if (in_force < version) {
      behind.insert(process);
    }
  };
  for (const std::string& control : m_settings.m_controls) {
    Json::Value report;
    try {
      report = m_rpc.Call(control, "status", Json::Value(Json::objectValue));
    } catch (const Error&) {
      processes.insert("control " + control);
      behind.insert("control " + control + " (no answer)");
      continue;
    }
    record("control " + control, report["configuration"].asUInt64());
    for (const Json::Value& cell : report["cells"]) {
      const std::string name = cell["cell"].asString();
      cells.insert(name);
      for (const Json::Value& dispatcher : cell["dispatchers"]) {
        reported_cells.insert(name);
        record("entry " + dispatcher["address"].asString() + " for " + name,
               dispatcher["configuration"].asUInt64());
      }
    }
  }
  for (const std::string& cell : cells) {
    if (!reported_cells.contains(cell)) {
      behind.insert("cell " + cell + " (no entry reports to a controller)");
    }
  }
  process_count = processes.size();
  return behind.empty() && !cells.empty();
}

int CtlCommands::Status() {
  Json::Value reports(Json::arrayValue);
  for (const std::string& control : m_settings.m_controls) {
    try {
      reports.append(
          m_rpc.Call(control, "status", Json::Value(Json::objectValue)));
    } catch (const Error& error) {
      Json::Value unreachable;
      unreachable["address"] = control;
      unreachable["error"] = std::string(InfoOf(error.GetCode()).m_name);
      reports.append(unreachable);
    }
  }
  if (m_settings.m_json) {
    m_out << JsonPretty(reports) << "\n";
    return kExitDone;
  }
  m_out << fmt::format("{:<22} {:<12} {:>13} {:>6}\n", "CONTROL", "DATA CENTRE",
                       "CONFIGURATION", "PEERS");
  for (const Json::Value& report : reports) {
    if (report.isMember("error")) {
      m_out << fmt::format("{:<22} {}\n", report["address"].asString(),
                           report["error"].asString());
      continue;
    }
    m_out << fmt::format(
        "{:<22} {:<12} {:>13} {:>6}\n", report["address"].asString(),
        report["data_centre"].asString(), report["configuration"].asUInt64(),
        report["peers"].asUInt64());
  }
  for (const Json::Value& report : reports) {
    for (const Json::Value& cell : report["cells"]) {
      if (cell["holding"].asBool()) {
        PrintCell(cell);
      }
    }
  }
  return kExitDone;
}

void CtlCommands::PrintCell(const Json::Value& cell) {
  size_t moving = 0;
  for (const Json::Value& partition : cell["partitions"]) {
    moving += partition["phase"].asString() != "settled";
  }
  m_out << fmt::format(
      "\nCELL {}  controlled by {}, epoch {}{}, {} partitions, {} moving\n",
      cell["cell"].asString(), cell["holder"].asString(),
      cell["epoch"].asUInt64(),
      cell["extended"].asBool() ? " (platform out, on promises)" : "",
      cell["partitions"].size(), moving);
  if (!cell["servers"].empty()) {
    m_out << fmt::format("  {:<16} {:<12} {:<5} {:<8} {:>10} {:>9} {:>6}  {}\n",
                         "SERVER", "DATA CENTRE", "UP", "SERVING", "PARTITIONS",
                         "IN FLIGHT", "QUEUED", "DISPATCHER");
  }
  for (const Json::Value& server : cell["servers"]) {
    m_out << fmt::format(
        "  {:<16} {:<12} {:<5} {:<8} {:>10} {:>9} {:>6}  {}\n",
        server["name"].asString(), server["data_centre"].asString(),
        server["up"].asBool() ? "yes" : "no",
        server["serving"].asBool() ? "yes" : "no",
        server["partitions"].asUInt(), server["in_flight"].asUInt(),
        server["queued"].asUInt(), server["dispatcher"].asString());
  }
  m_out << fmt::format("  {:<22} {:<12} {:>13} {:>7} {:>10}\n", "ENTRY",
                       "DATA CENTRE", "CONFIGURATION", "ROUTES", "HEARD");
  for (const Json::Value& entry : cell["dispatchers"]) {
    m_out << fmt::format(
        "  {:<22} {:<12} {:>13} {:>7} {:>7} ms\n", entry["address"].asString(),
        entry["data_centre"].asString(), entry["configuration"].asUInt64(),
        entry["routes"].asUInt64(), entry["heard_ms_ago"].asInt64());
  }
}

int CtlCommands::Explain() {
  Json::Value parameters;
  parameters["service"] = Argument(1);
  parameters["key"] = Argument(2);
  const Json::Value response = CallAny("explain", parameters);
  if (m_settings.m_json) {
    m_out << JsonPretty(response) << "\n";
    return kExitDone;
  }
  m_out << fmt::format(
      "key {} of {} is in partition {}\n  owner       {} ({}), epoch {}, {}\n"
      "  reason      {}\n  since       {} ms ago\n  dispatcher  {}\n"
      "  controller  {}, epoch {}\n",
      response["key"].asString(), response["service"].asString(),
      response["partition"].asUInt(), response["owner"].asString(),
      response["owner_up"].asBool() ? "up" : "down",
      response["epoch"].asUInt64(), response["phase"].asString(),
      response["reason"].asString(), response["since_ms"].asInt64(),
      response["dispatcher"].asString(), response["controller"].asString(),
      response["control_epoch"].asUInt64());
  for (const Json::Value& entry : response["entries"]) {
    m_out << fmt::format("  entry       {} routes it by version {}\n",
                         entry["address"].asString(),
                         entry["routes"].asUInt64());
  }
  return kExitDone;
}

int CtlCommands::KeyGrant() {
  const std::string secret = RandomToken();
  Json::Value parameters;
  parameters["kind"] = "key_grant";
  parameters["workspace"] = Argument(2);
  parameters["name"] = Argument(3);
  parameters["digest"] = SecretDigest(secret);
  const Json::Value plan = CallAny("change", parameters);
  m_out << "secret (shown once): " << secret << "\n";
  return FinishProposal(plan);
}

int CtlCommands::KeyWithdraw() {
  Json::Value parameters;
  parameters["kind"] = "key_withdraw";
  parameters["workspace"] = Argument(2);
  parameters["name"] = Argument(3);
  return FinishProposal(CallAny("change", parameters));
}

int CtlCommands::ChangeState(const std::string& kind,
                             const std::string& state) {
  Json::Value parameters;
  parameters["kind"] = kind;
  parameters["state"] = state;
  parameters["name"] = m_settings.m_arguments.back();
  parameters["service"] = kind == "server" ? Argument(2) : "";
  return FinishProposal(CallAny("change", parameters));
}

int CtlCommands::DataCentreLeave() {
  return ChangeState("data_centre", "leaving");
}

int CtlCommands::DataCentreReturn() {
  return ChangeState("data_centre", "serving");
}

int CtlCommands::ServerDrain() {
  return ChangeState("server", "leaving");
}

int CtlCommands::ServerReturn() {
  return ChangeState("server", "serving");
}

int CtlCommands::CellRelease() {
  Json::Value parameters;
  parameters["cell"] = Argument(2);
  CallAny("release", parameters);
  m_out << "the control lease of " << Argument(2) << " is free\n";
  return kExitDone;
}

int CtlCommands::History() {
  const Json::Value plans = CallAny("history", Json::Value(Json::objectValue));
  if (m_settings.m_json) {
    m_out << JsonPretty(plans) << "\n";
    return kExitDone;
  }
  m_out << fmt::format("{:<24} {:<10} {:>5} {:>8} {:>6}  {}\n", "PLAN", "STATE",
                       "BASE", "VERSION", "MOVES", "SUMMARY");
  for (const Json::Value& plan : plans) {
    m_out << fmt::format("{:<24} {:<10} {:>5} {:>8} {:>6}  {}\n",
                         plan["plan"].asString(), plan["state"].asString(),
                         plan["base_version"].asUInt64(),
                         plan["confirmed_version"].asUInt64(),
                         plan["moves"].asUInt64(), plan["summary"].asString());
  }
  return kExitDone;
}

int CtlCommands::CheckConfig() {
  return ConfigCheck(m_reader, m_out)
      .Run({Argument(2), m_settings.m_against, m_settings.m_json});
}

void CtlCommands::PrintPlan(const Json::Value& plan) {
  if (m_settings.m_json) {
    m_out << JsonPretty(plan) << "\n";
    return;
  }
  m_out << fmt::format(
      "plan {} ({}), against version {}: {}\n  {} partitions move; requests "
      "for them wait {:.0f} ms in all\n",
      plan["plan"].asString(), plan["state"].asString(),
      plan["base_version"].asUInt64(), plan["summary"].asString(),
      plan["moves"].asUInt64(), plan["unavailable_ms"].asDouble());
  for (const Json::Value& change : plan["changes"]) {
    m_out << "  " << change.asString() << "\n";
  }
}

}  // namespace foxtail
