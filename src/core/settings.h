#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtail {

/// One setting of a program: a flag, an environment variable and the member it
/// sets. A flag overrides its variable.
template <typename Settings>
struct SettingRow {
  /// Flag without dashes, for example "lease-hold".
  const char* m_flag;

  /// Environment variable, with the program's prefix.
  const char* m_variable;

  /// "text", "ms" or a unit of the number.
  const char* m_unit;

  /// Allowed range of a number; for a text, of its length.
  uint32_t m_min;
  uint32_t m_max;
  const char* m_brief;
  std::variant<std::string Settings::*,
               uint32_t Settings::*,
               std::chrono::milliseconds Settings::*>
      m_member;
};

/// A setting and its value as text, independent of the struct that stores it.
struct SettingSpec {
  std::string m_flag;
  std::string m_variable;
  std::string m_unit;
  uint32_t m_min = 0;
  uint32_t m_max = 0;
  std::string m_brief;
  std::string m_default;
  bool m_is_text = false;

  /// Value that was read, or the default when the setting was not given.
  std::string m_value;
};

/// Action that the command line requests.
enum class RunMode {
  kRun,
  kCheck,
  kHelp,
};

/// Reads flags and variables into `specs`. `prefix` is that of the program's
/// variables; an unknown variable with this prefix is an error. Throws
/// `Error(kSettingInvalid)` with the setting, its value and the allowed values.
RunMode ReadSettings(int argc,
                     const char* const* argv,
                     const char* const* environment,
                     const std::string& prefix,
                     std::vector<SettingSpec>& specs);

/// Returns the settings as help text.
std::string SettingsHelp(const std::string& program,
                         const std::string& brief,
                         std::span<const SettingSpec> specs);

/// Returns the settings as a Markdown table.
std::string SettingsMarkdown(std::span<const SettingSpec> specs);

/// Builds the specs of `rows`, with the default values of `defaults`.
template <typename Settings>
std::vector<SettingSpec> SpecsOf(std::span<const SettingRow<Settings>> rows,
                                 const Settings& defaults) {
  std::vector<SettingSpec> specs;
  for (const SettingRow<Settings>& row : rows) {
    SettingSpec spec{row.m_flag, row.m_variable, row.m_unit,
                     row.m_min,  row.m_max,      row.m_brief,
                     "",         false,          ""};
    if (const auto* text = std::get_if<0>(&row.m_member)) {
      spec.m_is_text = true;
      spec.m_default = defaults.**text;
    } else if (const auto* number = std::get_if<1>(&row.m_member)) {
      spec.m_default = std::to_string(defaults.**number);
    } else {
      spec.m_default =
          std::to_string((defaults.*std::get<2>(row.m_member)).count());
    }
    spec.m_value = spec.m_default;
    specs.push_back(std::move(spec));
  }
  return specs;
}

/// Stores the values of `specs` in the members that `rows` refer to.
template <typename Settings>
void StoreSettings(std::span<const SettingRow<Settings>> rows,
                   const std::vector<SettingSpec>& specs,
                   Settings& settings) {
  for (size_t i = 0; i < rows.size(); ++i) {
    const std::string& value = specs[i].m_value;
    if (const auto* text = std::get_if<0>(&rows[i].m_member)) {
      settings.** text = value;
    } else if (const auto* number = std::get_if<1>(&rows[i].m_member)) {
      settings.** number = static_cast<uint32_t>(std::stoul(value));
    } else {
      settings.*std::get<2>(rows[i].m_member) =
          std::chrono::milliseconds(std::stoul(value));
    }
  }
}

}  // namespace foxtail
