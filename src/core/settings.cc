#include "core/settings.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <memory>

#include "core/error.h"

namespace foxtail {
namespace {

[[noreturn]] void ThrowInvalid(const std::string& name,
                               const std::string& value,
                               const std::string& allowed) {
  throw Error(ErrorCode::kSettingInvalid,
              fmt::format("{} = '{}'; allowed: {}", name, value, allowed));
}

std::string AllowedValues(const SettingSpec& spec) {
  if (spec.m_is_text) {
    return fmt::format("{} to {} characters", spec.m_min, spec.m_max);
  }
  return fmt::format("a whole number from {} to {} ({})", spec.m_min,
                     spec.m_max, spec.m_unit);
}

void CheckValue(const SettingSpec& spec, const std::string& source) {
  const std::string& value = spec.m_value;
  uint64_t measure = value.size();
  if (!spec.m_is_text) {
    const auto result =
        std::from_chars(value.data(), value.data() + value.size(), measure);
    if (value.empty() || result.ec != std::errc() ||
        result.ptr != value.data() + value.size()) {
      ThrowInvalid(source, value, AllowedValues(spec));
    }
  }
  if (measure < spec.m_min || measure > spec.m_max) {
    ThrowInvalid(source, value, AllowedValues(spec));
  }
}

void ReadEnvironment(const char* const* environment,
                     const std::string& prefix,
                     std::vector<SettingSpec>& specs,
                     std::vector<std::string>& sources) {
  for (; environment && *environment; ++environment) {
    const std::string_view entry = *environment;
    const size_t equals = entry.find('=');
    const std::string_view name = entry.substr(0, equals);
    if (!name.starts_with(prefix) || equals == std::string_view::npos) {
      continue;
    }
    const auto spec = std::ranges::find(specs, name, &SettingSpec::m_variable);
    const std::string value(entry.substr(equals + 1));
    if (spec == specs.end()) {
      ThrowInvalid(std::string(name), value, "a variable listed by --help");
    }
    spec->m_value = value;
    sources[static_cast<size_t>(spec - specs.begin())] = name;
  }
}

}  // namespace

RunMode ReadSettings(int argc,
                     const char* const* argv,
                     const char* const* environment,
                     const std::string& prefix,
                     std::vector<SettingSpec>& specs) {
  std::vector<std::string> sources(specs.size());
  ReadEnvironment(environment, prefix, specs, sources);
  TCLAP::CmdLine line("", ' ', "", false);
  line.setExceptionHandling(false);
  TCLAP::SwitchArg help("h", "help", "Print the settings.", line);
  TCLAP::SwitchArg check("", "check", "Check the settings and exit.", line);
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> arguments;
  for (const SettingSpec& spec : specs) {
    arguments.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
        "", spec.m_flag, spec.m_brief, false, "", spec.m_unit, line));
  }
  try {
    line.parse(argc, argv);
  } catch (const TCLAP::ArgException& failure) {
    ThrowInvalid(failure.argId(), failure.error(),
                 "the flags listed by --help");
  }
  if (help.getValue()) {
    return RunMode::kHelp;
  }
  for (size_t i = 0; i < specs.size(); ++i) {
    if (arguments[i]->isSet()) {
      specs[i].m_value = arguments[i]->getValue();
      sources[i] = "--" + specs[i].m_flag;
    }
    CheckValue(specs[i],
               sources[i].empty() ? "--" + specs[i].m_flag : sources[i]);
  }
  return check.getValue() ? RunMode::kCheck : RunMode::kRun;
}

std::string SettingsHelp(const std::string& program,
                         const std::string& brief,
                         std::span<const SettingSpec> specs) {
  std::string text = fmt::format(
      "{}: {}\n\n  --help   print this text\n  --check  check the settings and "
      "exit\n\n",
      program, brief);
  for (const SettingSpec& spec : specs) {
    text += fmt::format(
        "  --{} <{}>\n      {}\n      variable {}; default {}; "
        "{}\n",
        spec.m_flag, spec.m_unit, spec.m_brief, spec.m_variable,
        spec.m_default.empty() ? "none" : spec.m_default, AllowedValues(spec));
  }
  return text;
}

std::string SettingsMarkdown(std::span<const SettingSpec> specs) {
  std::string text =
      "| flag | variable | default | unit | range | meaning |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (const SettingSpec& spec : specs) {
    text += fmt::format("| `--{}` | `{}` | {} | {} | {} to {} | {} |\n",
                        spec.m_flag, spec.m_variable,
                        spec.m_default.empty() ? "none" : spec.m_default,
                        spec.m_unit, spec.m_min, spec.m_max, spec.m_brief);
  }
  return text;
}

}  // namespace foxtail
