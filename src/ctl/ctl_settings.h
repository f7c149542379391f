#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace foxtail {

/// Settings, command and arguments of a `foxtailctl` command line.
struct CtlSettings {
  /// Addresses of the control processes, tried in order.
  std::vector<std::string> m_controls;
  std::string m_cluster_secret;

  /// Print JSON instead of tables.
  bool m_json = false;

  /// File with the configuration in force, for `config check`.
  std::string m_against;

  /// Wait until a confirmed configuration is in force everywhere.
  bool m_wait = false;

  /// Confirm a plan at once, without a second command.
  bool m_yes = false;

  /// Timeout of one call, and of `--wait`.
  std::chrono::milliseconds m_timeout{10'000};

  /// The command, of one or two words, and its arguments.
  std::vector<std::string> m_arguments;
};

/// Reads flags and variables. Throws `Error(kSettingInvalid)`. Prints the help
/// text and returns false if help was requested or no command was given.
bool ReadCtlSettings(int argc, const char* const* argv, CtlSettings& settings);

}  // namespace foxtail
