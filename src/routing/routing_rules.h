#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "routing/routing_config.h"

namespace foxtail {

/// What a finding means for the version that has it.
enum class RuleSeverity {
  /// The daemons reject the version.
  kError,
  /// The daemons accept the version.
  kWarning,
};

/// Returns "error" or "warning".
const char* NameOf(RuleSeverity severity);

/// Parts of a configuration version.
enum class ConfigSection {
  kDocument,
  kRoutes,
  kServices,
  kWorkspaces,
  kLimits,
};

/// Fields of the entries of a configuration version.
enum class ConfigField {
  /// The whole entry.
  kEntry,
  kVersion,
  kName,
  kHost,
  kPrefix,
  kRouteKind,
  kPublic,
  kTimeout,
  kTargetLatency,
  kPriority,
  kMaxAttempts,
  /// `RouteRow::m_services` and `RouteRow::m_idle_services`.
  kServices,
  kIdleServices,
  kSharded,
  kMaxConnections,
  kColdRate,
  kKeys,
  kRate,
  kBurst,
  kHeaderLimit,
  kBodyLimit,
  kHeaderTimeout,
  kIdleTimeout,
};

/// A place in a configuration version.
struct ConfigLocation {
  ConfigSection m_section = ConfigSection::kDocument;

  /// Position of the entry in its section.
  size_t m_index = 0;
  ConfigField m_field = ConfigField::kEntry;

  /// Position in the field, if the field is a list.
  size_t m_element = 0;
};

/// A place where a configuration version does not keep a rule.
struct RuleFinding {
  std::string_view m_rule;
  RuleSeverity m_severity = RuleSeverity::kError;
  ConfigLocation m_location;
  std::string m_text;
};

/// A rule for configuration versions. `m_check` adds a finding for each place
/// that does not keep it, and need not set rule and severity.
struct RoutingRule {
  std::string_view m_name;
  RuleSeverity m_severity;
  void (*m_check)(const RoutingConfig& config,
                  std::vector<RuleFinding>& findings);
};

/// Name of the rule that finds routes of unknown kinds.
inline constexpr std::string_view kUnusableRouteRule = "route_unusable";

/// Returns all rules, errors first.
std::span<const RoutingRule> AllRoutingRules();

/// Checks all rules of a severity.
std::vector<RuleFinding> CheckRules(const RoutingConfig& config,
                                    RuleSeverity severity);

/// Checks the rule with this name, which must exist.
std::vector<RuleFinding> CheckRule(const RoutingConfig& config,
                                   std::string_view name);

/// Returns whether a version takes the place of the one in force.
bool IsNewer(const RoutingConfig& version, const RoutingConfig& in_force);

}  // namespace foxtail
