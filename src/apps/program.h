#pragma once

#include <cstdlib>
#include <functional>
#include <iostream>
#include <span>
#include <string>

#include "core/error.h"
#include "core/settings.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/process_signals.h"

namespace foxtail {

/// Exit codes of all programs. docs/OPERATIONS.md lists them.
enum ExitCode {
  kExitDone = 0,
  kExitFailed = 1,
  kExitSettings = 2,
  kExitPlanStale = 3,
  kExitTimeout = 4,
  kExitUnavailable = 5,
};

/// Reads settings and calls `run(settings)`. When a setting is invalid, prints
/// one line and returns `kExitSettings` before anything is started.
template <typename Settings>
int RunProgram(int argc,
               char** argv,
               char** environment,
               const std::string& brief,
               const std::string& prefix,
               std::span<const SettingRow<Settings>> rows,
               const std::function<int(const Settings&)>& check,
               const std::function<int(const Settings&)>& run) {
  Settings settings;
  std::vector<SettingSpec> specs = SpecsOf(rows, settings);
  try {
    switch (ReadSettings(argc, argv, environment, prefix, specs)) {
      case RunMode::kHelp:
        std::cout << SettingsHelp(argv[0], brief, specs);
        return kExitDone;
      case RunMode::kCheck:
        StoreSettings(rows, specs, settings);
        check(settings);
        std::cout << "settings are valid\n";
        return kExitDone;
      case RunMode::kRun:
        break;
    }
    StoreSettings(rows, specs, settings);
    check(settings);
    return run(settings);
  } catch (const Error& error) {
    std::cerr << argv[0] << ": " << error.what() << "\n";
    return error.GetCode() == ErrorCode::kSettingInvalid ? kExitSettings
                                                         : kExitFailed;
  }
}

/// Like `RunProgram`, for a process that runs until it is stopped by a signal.
template <typename Settings>
int RunDaemon(int argc,
              char** argv,
              char** environment,
              const std::string& brief,
              const std::string& prefix,
              std::span<const SettingRow<Settings>> rows,
              const std::function<int(const Settings&)>& check,
              const std::function<int(const Settings&)>& run) {
  DeferStopSignals();
  return RunProgram(argc, argv, environment, brief, prefix, rows, check, run);
}

}  // namespace foxtail
