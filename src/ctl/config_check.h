#pragma once

#include <json/value.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "routing/config_reader.h"
#include "routing/routing_difference.h"

namespace foxtail {

/// What `foxtailctl config check` is asked to check.
struct ConfigCheckRequest {
  std::string m_file;

  /// File with the version in force; empty if there is nothing to compare with.
  std::string m_against;

  /// Print JSON instead of text.
  bool m_json = false;
};

/// Checks a configuration document before it is sent.
class ConfigCheck {
 public:
  /// Prints to `out`.
  ConfigCheck(const ConfigReader& reader, std::ostream& out)
      : m_reader(reader), m_out(out) {}

  /// Returns the exit code: 0 if nothing was found, 1 if there are findings, 2
  /// if a file cannot be read or checked. Differences are no findings.
  int Run(const ConfigCheckRequest& request) const;

 private:
  struct Report;

  void FillReport(const ConfigCheckRequest& request, Report& report) const;
  void PrintText(const ConfigCheckRequest& request, const Report& report) const;
  void PrintJson(const ConfigCheckRequest& request, const Report& report) const;
  std::string PathOf(const ConfigDifference& difference) const;
  std::string FieldOf(const ConfigDifference& difference) const;

  const ConfigReader& m_reader;
  std::ostream& m_out;
};

}  // namespace foxtail
