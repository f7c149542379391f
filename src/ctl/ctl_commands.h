#pragma once

#include <json/value.h>

#include <ostream>
#include <set>
#include <string>

#include "ctl/ctl_settings.h"
#include "daemon/control_rpc_client.h"
#include "routing/config_reader.h"
#include "runtime/http_client.h"

namespace foxtail {

/// The commands of `foxtailctl`.
class CtlCommands {
 public:
  /// Prints to `out`. `reader` reads the files that `config check` is given.
  CtlCommands(const CtlSettings& settings,
              const ConfigReader& reader,
              std::ostream& out);

  /// Executes the command given in the settings; returns the exit code. Throws
  /// `Error`.
  int Run();

 private:
  using Handler = int (CtlCommands::*)();
  struct Command;

  int Apply();
  int PlanShow();
  int Confirm();
  int Abandon();
  int Status();
  int Explain();
  int KeyGrant();
  int KeyWithdraw();
  int DataCentreLeave();
  int DataCentreReturn();
  int ServerDrain();
  int ServerReturn();
  int CellRelease();
  int History();
  int CheckConfig();

  /// Calls a method on the first control process that can handle it. Throws the
  /// error of the last process that was called.
  Json::Value CallAny(const std::string& method, const Json::Value& parameters);
  int ChangeState(const std::string& kind, const std::string& state);
  int FinishProposal(const Json::Value& plan);
  int ConfirmPlan(const std::string& plan);
  int WaitInForce(uint64_t version);
  bool IsInForce(uint64_t version,
                 std::set<std::string>& behind,
                 size_t& process_count);
  void PrintPlan(const Json::Value& plan);
  void PrintCell(const Json::Value& cell);
  const std::string& Argument(size_t index) const;

  const CtlSettings& m_settings;
  const ConfigReader& m_reader;
  std::ostream& m_out;
  HttpClient m_client;
  ControlRpcClient m_rpc;
};

}  // namespace foxtail
