#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/routing_config.h"
#include "routing/routing_rules.h"

namespace foxtail {

/// A finding with its place in a configuration document.
struct DocumentFinding {
  std::string m_rule;
  RuleSeverity m_severity = RuleSeverity::kError;

  /// Line of the document, from 1.
  uint32_t m_line = 0;

  /// Path such as "routes[2].timeout"; empty for the whole document.
  std::string m_path;
  std::string m_text;
};

/// A configuration document and what was found in it.
struct ConfigDocument {
  RoutingConfig m_config;

  /// Errors and warnings in the order of their lines.
  std::vector<DocumentFinding> m_findings;
};

/// Reads configuration documents as operators write them, and names their
/// fields.
class ConfigReader {
 public:
  virtual ~ConfigReader() = default;

  /// Reads a document and checks it against all rules. Fields that cannot be
  /// decoded have their defaults in the result. Throws
  /// `Error(kMessageMalformed)` if the document cannot be parsed.
  virtual ConfigDocument Read(const std::string& text) const = 0;

  /// Returns the names that a section and a field have in documents.
  virtual std::string NameOfSection(ConfigSection section) const = 0;
  virtual std::string NameOfField(ConfigSection section,
                                  ConfigField field) const = 0;
};

}  // namespace foxtail
