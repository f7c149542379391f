#pragma once

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <span>
#include <string>

#include "core/error.h"
#include "core/settings.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

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
  // By default SIGHUP would end the process, so the signal is ignored until
  // `WaitForStopSignal` handles it.
  std::signal(SIGHUP, SIG_IGN);
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

/// Suspends the calling fiber until the process receives SIGINT or SIGTERM.
/// SIGHUP, which would end the process by default, calls `on_reload` instead.
inline void WaitForStopSignal(const std::function<void()>& on_reload) {
  boost::asio::signal_set signals(ThreadIoContext(), SIGINT, SIGTERM, SIGHUP);
  int number = SIGHUP;
  while (number == SIGHUP) {
    const boost::system::error_code failure = AwaitOperation([&](auto handler) {
      signals.async_wait(
          [&number, handler](const auto& error, int signal) mutable {
            number = signal;
            handler(error);
          });
    });
    if (failure) {
      return;
    }
    if (number == SIGHUP) {
      on_reload();
    }
  }
}

}  // namespace foxtail
