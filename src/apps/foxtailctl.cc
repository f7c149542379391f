#include <iostream>

#include "apps/program.h"
#include "ctl/ctl_commands.h"
#include "ctl/ctl_settings.h"
#include "platform/operator_config_reader.h"

namespace foxtail {
namespace {

struct ExitCodeRow {
  ErrorCode m_error_code;
  ExitCode m_exit_code;
};

constexpr ExitCodeRow kExitCodes[] = {
    {ErrorCode::kSettingInvalid, kExitSettings},
    {ErrorCode::kPlanStale, kExitPlanStale},
    {ErrorCode::kNetwork, kExitUnavailable},
    {ErrorCode::kDeadlineExceeded, kExitUnavailable},
    {ErrorCode::kPlatformUnavailable, kExitUnavailable},
};

int ExitCodeOf(const Error& error) {
  for (const ExitCodeRow& row : kExitCodes) {
    if (row.m_error_code == error.GetCode()) {
      return row.m_exit_code;
    }
  }
  return kExitFailed;
}

int Run(int argc, char** argv) {
  try {
    CtlSettings settings;
    if (!ReadCtlSettings(argc, argv, settings)) {
      return kExitDone;
    }
    InstallFiberScheduler();
    const OperatorConfigReader reader;
    CtlCommands commands(settings, reader, std::cout);
    return commands.Run();
  } catch (const Error& error) {
    std::cerr << "foxtailctl: " << InfoOf(error.GetCode()).m_name << ": "
              << error.what() << "\n";
    return ExitCodeOf(error);
  }
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv) {
  const int code = foxtail::Run(argc, argv);
  std::cout.flush();
  std::_Exit(code);
}
