#include "ctl/config_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "apps/program.h"
#include "core/error.h"
#include "core/json.h"

namespace foxtail {
namespace {

using Differences = std::vector<ConfigDifference>;

// Name of the finding for a version that the daemons ignore, since they have
// one that is as new.
constexpr const char* kVersionNotNewer = "version_not_newer";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  // Unlike an iterator, this does not throw if the file is a directory.
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || text.view().empty()) {
    throw Error(ErrorCode::kSettingInvalid,
                "'" + path + "'; allowed: a readable file that is not empty");
  }
  return text.str();
}

ConfigDocument ReadDocument(const ConfigReader& reader,
                            const std::string& path) {
  const std::string text = ReadFile(path);
  try {
    return reader.Read(text);
  } catch (const Error& failure) {
    throw Error(failure.GetCode(),
                "'" + path + "' cannot be parsed: " + failure.GetDetail());
  }
}

bool IsError(const DocumentFinding& finding) {
  return finding.m_severity == RuleSeverity::kError;
}

}  // namespace

// The outcome of a check. Only `m_failure` is set if a file could not be read.
struct ConfigCheck::Report {
  std::string m_failure;
  ConfigDocument m_document;

  /// The version in force, if there is one, and the differences from it, if the
  /// document has no errors.
  std::optional<uint64_t> m_version_in_force;
  std::optional<std::vector<ConfigDifference>> m_differences;

  size_t CountErrors() const {
    return static_cast<size_t>(
        std::ranges::count_if(m_document.m_findings, &IsError));
  }
};

int ConfigCheck::Run(const ConfigCheckRequest& request) const {
  Report report;
  try {
    FillReport(request, report);
  } catch (const Error& failure) {
    report = {};
    report.m_failure = failure.GetDetail();
  }
  if (request.m_json) {
    PrintJson(request, report);
  } else {
    PrintText(request, report);
  }
  if (!report.m_failure.empty()) {
    return kExitSettings;
  }
  return report.m_document.m_findings.empty() ? kExitDone : kExitFailed;
}

void ConfigCheck::FillReport(const ConfigCheckRequest& request,
                             Report& report) const {
  report.m_document = ReadDocument(m_reader, request.m_file);
  if (request.m_against.empty()) {
    return;
  }
  const ConfigDocument in_force = ReadDocument(m_reader, request.m_against);
  const auto error = std::ranges::find_if(in_force.m_findings, &IsError);
  if (error != in_force.m_findings.end()) {
    throw Error(ErrorCode::kIntentInvalid,
                fmt::format("'{}' cannot be in force: line {}: {}: {}",
                            request.m_against, error->m_line, error->m_path,
                            error->m_text));
  }
  const RoutingConfig& config = report.m_document.m_config;
  report.m_version_in_force = in_force.m_config.m_version;
  // The fields of a document with errors may have their defaults.
  if (report.CountErrors() > 0) {
    return;
  }
  report.m_differences = FindDifferences(in_force.m_config, config);
  if (!IsNewer(config, in_force.m_config)) {
    report.m_document.m_findings.insert(
        report.m_document.m_findings.begin(),
        {kVersionNotNewer, RuleSeverity::kError, 1,
         m_reader.NameOfField(ConfigSection::kDocument, ConfigField::kVersion),
         fmt::format("{:x} is not above the version in force, {:x}; the "
                     "daemons ignore it",
                     config.m_version, in_force.m_config.m_version)});
  }
}

std::string ConfigCheck::PathOf(const ConfigDifference& difference) const {
  const std::string section = m_reader.NameOfSection(difference.m_section);
  return difference.m_entry.empty()
             ? section
             : fmt::format("{} '{}'", section, difference.m_entry);
}

std::string ConfigCheck::FieldOf(const ConfigDifference& difference) const {
  return m_reader.NameOfField(difference.m_section, difference.m_field);
}

void ConfigCheck::PrintText(const ConfigCheckRequest& request,
                            const Report& report) const {
  if (!report.m_failure.empty()) {
    m_out << "cannot check: " << report.m_failure << "\n";
    return;
  }
  for (const DocumentFinding& finding : report.m_document.m_findings) {
    m_out << fmt::format("{}:{}: {}: {}: {} [{}]\n", request.m_file,
                         finding.m_line, NameOf(finding.m_severity),
                         finding.m_path, finding.m_text, finding.m_rule);
  }
  for (const ConfigDifference& difference :
       report.m_differences.value_or(Differences())) {
    m_out << NameOf(difference.m_kind) << " " << PathOf(difference);
    if (difference.m_kind == DifferenceKind::kChanged) {
      m_out << fmt::format(": {}: {} -> {}", FieldOf(difference),
                           difference.m_before, difference.m_after);
    }
    m_out << "\n";
  }
  const size_t errors = report.CountErrors();
  m_out << fmt::format("{} errors, {} warnings", errors,
                       report.m_document.m_findings.size() - errors);
  if (report.m_version_in_force) {
    m_out << (report.m_differences ? fmt::format(", {} differences",
                                                 report.m_differences->size())
                                   : ", not compared");
  }
  m_out << "\n";
}

void ConfigCheck::PrintJson(const ConfigCheckRequest& request,
                            const Report& report) const {
  Json::Value json;
  json["file"] = request.m_file;
  if (!report.m_failure.empty()) {
    json["failure"] = report.m_failure;
    m_out << JsonPretty(json) << "\n";
    return;
  }
  json["findings"] = Json::Value(Json::arrayValue);
  for (const DocumentFinding& finding : report.m_document.m_findings) {
    Json::Value row;
    row["rule"] = finding.m_rule;
    row["severity"] = NameOf(finding.m_severity);
    row["line"] = finding.m_line;
    row["field"] = finding.m_path;
    row["text"] = finding.m_text;
    json["findings"].append(row);
  }
  if (report.m_version_in_force) {
    json["version_in_force"] = fmt::format("{:x}", *report.m_version_in_force);
  }
  if (report.m_differences) {
    json["differences"] = Json::Value(Json::arrayValue);
  }
  for (const ConfigDifference& difference :
       report.m_differences.value_or(Differences())) {
    Json::Value row;
    row["kind"] = NameOf(difference.m_kind);
    row["section"] = m_reader.NameOfSection(difference.m_section);
    row["name"] = difference.m_entry;
    if (difference.m_kind == DifferenceKind::kChanged) {
      row["field"] = FieldOf(difference);
      row["before"] = difference.m_before;
      row["after"] = difference.m_after;
    }
    json["differences"].append(row);
  }
  m_out << JsonPretty(json) << "\n";
}

}  // namespace foxtail
