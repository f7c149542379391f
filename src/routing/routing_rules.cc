#include "routing/routing_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <set>
#include <utility>

#include "core/digest.h"

namespace foxtail {
namespace {

using Findings = std::vector<RuleFinding>;
using enum ConfigField;

// Below this time an attempt has no chance: an exchange with a server in
// another data centre alone takes longer.
constexpr std::chrono::milliseconds kMinAttemptTime{10};

// Characters that no path of a request has.
constexpr std::string_view kNoPathCharacters = "?# \t\r\n";

void Add(Findings& findings, ConfigLocation location, std::string text) {
  findings.push_back({{}, {}, location, std::move(text)});
}

ConfigLocation LimitsField(ConfigField field) {
  return {ConfigSection::kLimits, 0, field};
}

// Calls `check(entry, location)` for each entry of a list.
template <typename Entry, typename Check>
void ForEachEntry(const std::vector<Entry>& entries,
                  ConfigSection section,
                  ConfigField field,
                  Check check) {
  for (size_t i = 0; i < entries.size(); ++i) {
    check(entries[i], ConfigLocation{section, i, field});
  }
}

template <typename Check>
void ForEachRoute(const RoutingConfig& config, ConfigField field, Check check) {
  ForEachEntry(config.m_routes, ConfigSection::kRoutes, field, check);
}

template <typename Check>
void ForEachService(const RoutingConfig& config,
                    ConfigField field,
                    Check check) {
  ForEachEntry(config.m_services, ConfigSection::kServices, field, check);
}

template <typename Check>
void ForEachWorkspace(const RoutingConfig& config,
                      ConfigField field,
                      Check check) {
  ForEachEntry(config.m_workspaces, ConfigSection::kWorkspaces, field, check);
}

std::set<std::string_view> ServiceNames(const RoutingConfig& config) {
  std::set<std::string_view> names;
  for (const RoutedService& service : config.m_services) {
    names.insert(service.m_name);
  }
  return names;
}

bool HasKeys(const RoutedWorkspace& workspace) {
  return !workspace.m_key_digests.empty();
}

void CheckPrefix(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kPrefix, [&](const RouteRow& route, ConfigLocation at) {
    if (!route.m_prefix.starts_with('/') || !route.m_prefix.ends_with('/')) {
      Add(findings, at,
          fmt::format("'{}' does not begin and end with a slash",
                      route.m_prefix));
    }
  });
}

void CheckTimeout(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kTimeout, [&](const RouteRow& route, ConfigLocation at) {
    if (route.m_timeout <= Duration(0)) {
      Add(findings, at, "a route needs a timeout above 0");
    }
  });
}

void CheckRouteHasService(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kServices,
               [&](const RouteRow& route, ConfigLocation at) {
                 if (route.m_services.empty()) {
                   Add(findings, at,
                       "no service of the route has a weight of at least 1");
                 }
               });
}

void CheckRouteDuplicate(const RoutingConfig& config, Findings& findings) {
  std::map<std::pair<std::string_view, std::string_view>, std::string_view>
      names;
  ForEachRoute(config, kPrefix, [&](const RouteRow& route, ConfigLocation at) {
    const auto [found, inserted] =
        names.insert({{route.m_host, route.m_prefix}, route.m_name});
    if (!inserted) {
      Add(findings, at,
          fmt::format("two routes for {}{}: '{}' and '{}'", route.m_host,
                      route.m_prefix, found->second, route.m_name));
    }
  });
}

void CheckServiceKnown(const RoutingConfig& config, Findings& findings) {
  const std::set<std::string_view> names = ServiceNames(config);
  ForEachRoute(config, kServices,
               [&](const RouteRow& route, ConfigLocation at) {
                 for (const WeightedService& part : route.m_services) {
                   if (!names.contains(part.m_service)) {
                     Add(findings, at,
                         fmt::format("unknown service '{}'", part.m_service));
                   }
                   ++at.m_element;
                 }
               });
}

void CheckRouteUsable(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kRouteKind,
               [&](const RouteRow& route, ConfigLocation at) {
                 if (!route.m_unusable_reason.empty()) {
                   Add(findings, at,
                       route.m_unusable_reason + "; its requests are refused");
                 }
               });
}

void CheckHost(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kHost, [&](const RouteRow& route, ConfigLocation at) {
    if (route.m_host.find(':') != std::string::npos) {
      Add(findings, at,
          fmt::format("'{}' never matches: requests are matched by their host "
                      "name without the port",
                      route.m_host));
    }
  });
}

void CheckPrefixMatches(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kPrefix, [&](const RouteRow& route, ConfigLocation at) {
    if (route.m_prefix.find_first_of(kNoPathCharacters) != std::string::npos) {
      Add(findings, at,
          fmt::format("'{}' never matches: no path of a request has a space, "
                      "'?' or '#'",
                      route.m_prefix));
    }
  });
}

void CheckServiceUsed(const RoutingConfig& config, Findings& findings) {
  std::set<std::string_view> used;
  for (const RouteRow& route : config.m_routes) {
    for (const WeightedService& part : route.m_services) {
      used.insert(part.m_service);
    }
  }
  ForEachService(
      config, kName, [&](const RoutedService& service, ConfigLocation at) {
        if (!used.contains(service.m_name)) {
          Add(findings, at,
              fmt::format("no route uses service '{}'", service.m_name));
        }
      });
}

void CheckServiceDuplicate(const RoutingConfig& config, Findings& findings) {
  std::set<std::string_view> names;
  ForEachService(config, kName,
                 [&](const RoutedService& service, ConfigLocation at) {
                   if (!names.insert(service.m_name).second) {
                     Add(findings, at,
                         fmt::format("two services '{}'; the last one counts",
                                     service.m_name));
                   }
                 });
}

void CheckWorkspaceDuplicate(const RoutingConfig& config, Findings& findings) {
  std::set<std::string_view> names;
  ForEachWorkspace(
      config, kName, [&](const RoutedWorkspace& workspace, ConfigLocation at) {
        if (!names.insert(workspace.m_name).second) {
          Add(findings, at,
              fmt::format("two workspaces '{}'; the last one counts",
                          workspace.m_name));
        }
      });
}

void CheckKeyDuplicate(const RoutingConfig& config, Findings& findings) {
  std::map<std::string_view, std::string_view> holders;
  ForEachWorkspace(
      config, kKeys, [&](const RoutedWorkspace& workspace, ConfigLocation at) {
        for (const std::string& digest : workspace.m_key_digests) {
          const auto [found, inserted] =
              holders.insert({digest, workspace.m_name});
          if (!inserted) {
            Add(findings, at,
                fmt::format("'{}' has this key already; the last workspace "
                            "with a key gets its requests",
                            found->second));
          }
          ++at.m_element;
        }
      });
}

void CheckKeyEmpty(const RoutingConfig& config, Findings& findings) {
  const std::string empty = SecretDigest("");
  ForEachWorkspace(config, kKeys,
                   [&](const RoutedWorkspace& workspace, ConfigLocation at) {
                     for (const std::string& digest : workspace.m_key_digests) {
                       if (digest == empty) {
                         Add(findings, at, "an empty key never matches");
                       }
                       ++at.m_element;
                     }
                   });
}

void CheckWorkspaceHasKeys(const RoutingConfig& config, Findings& findings) {
  if (std::ranges::all_of(config.m_routes, &RouteRow::m_public)) {
    return;
  }
  ForEachWorkspace(
      config, kKeys, [&](const RoutedWorkspace& workspace, ConfigLocation at) {
        if (!HasKeys(workspace)) {
          Add(findings, at,
              fmt::format("workspace '{}' has no key, and routes need one",
                          workspace.m_name));
        }
      });
}

void CheckRouteHasKeys(const RoutingConfig& config, Findings& findings) {
  if (std::ranges::any_of(config.m_workspaces, &HasKeys)) {
    return;
  }
  ForEachRoute(config, kPublic, [&](const RouteRow& route, ConfigLocation at) {
    if (!route.m_public) {
      Add(findings, at, "the route needs a key, and no workspace has any");
    }
  });
}

void CheckTargetLatency(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kTargetLatency,
               [&](const RouteRow& route, ConfigLocation at) {
                 if (route.m_target_latency > route.m_timeout) {
                   Add(findings, at,
                       fmt::format("{:g} s is above the route's timeout of "
                                   "{:g} s",
                                   ToSeconds(route.m_target_latency),
                                   ToSeconds(route.m_timeout)));
                 }
               });
}

void CheckAttempts(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(
      config, kMaxAttempts, [&](const RouteRow& route, ConfigLocation at) {
        const Duration each =
            route.m_timeout / std::max(1U, route.m_max_attempts);
        if (route.m_max_attempts > 1 && each < kMinAttemptTime) {
          Add(findings, at,
              fmt::format("a timeout of {:g} s leaves less than {:g} s for "
                          "each of {} attempts",
                          ToSeconds(route.m_timeout),
                          ToSeconds(kMinAttemptTime), route.m_max_attempts));
        }
      });
}

void CheckWeight(const RoutingConfig& config, Findings& findings) {
  ForEachRoute(config, kIdleServices,
               [&](const RouteRow& route, ConfigLocation at) {
                 for (const std::string& service : route.m_idle_services) {
                   Add(findings, at,
                       fmt::format("a weight below 1: service '{}' gets none "
                                   "of the route's requests",
                                   service));
                   ++at.m_element;
                 }
               });
}

void CheckBurst(const RoutingConfig& config, Findings& findings) {
  ForEachWorkspace(
      config, kBurst, [&](const RoutedWorkspace& workspace, ConfigLocation at) {
        if (workspace.m_rate > 0 && workspace.m_burst < 1) {
          Add(findings, at,
              fmt::format("a burst of {:g} is below the one token that a "
                          "request takes",
                          workspace.m_burst));
        }
      });
}

void CheckRate(const RoutingConfig& config, Findings& findings) {
  ForEachWorkspace(
      config, kRate, [&](const RoutedWorkspace& workspace, ConfigLocation at) {
        if (workspace.m_rate == 0 && workspace.m_burst > 0) {
          Add(findings, at,
              fmt::format("a rate of 0 means no limit, so the burst of {:g} "
                          "has no effect",
                          workspace.m_burst));
        }
      });
}

void CheckConnections(const RoutingConfig& config, Findings& findings) {
  ForEachService(
      config, kMaxConnections,
      [&](const RoutedService& service, ConfigLocation at) {
        if (service.m_max_connections == 0) {
          Add(findings, at,
              "a limit of 0 leaves no connection to a server of the service");
        }
      });
}

void CheckRequestTimeouts(const RoutingConfig& config, Findings& findings) {
  const RequestLimits& limits = config.m_limits;
  for (const auto& [field, timeout] :
       {std::pair{kHeaderTimeout, limits.m_header_timeout},
        std::pair{kIdleTimeout, limits.m_idle_timeout}}) {
    if (timeout <= Duration(0)) {
      Add(findings, LimitsField(field),
          "a timeout of 0 leaves clients no time to send a request");
    }
  }
}

void CheckHeaderTimeout(const RoutingConfig& config, Findings& findings) {
  const RequestLimits& limits = config.m_limits;
  if (limits.m_header_timeout > limits.m_idle_timeout) {
    Add(findings, LimitsField(kHeaderTimeout),
        fmt::format("{:g} s for a header section is above the idle timeout of "
                    "{:g} s",
                    ToSeconds(limits.m_header_timeout),
                    ToSeconds(limits.m_idle_timeout)));
  }
}

void CheckHeaderLimit(const RoutingConfig& config, Findings& findings) {
  if (config.m_limits.m_header_limit == 0) {
    Add(findings, LimitsField(kHeaderLimit), "a limit of 0 admits no request");
  }
}

constexpr std::array kRules = {
    RoutingRule{"prefix_malformed", RuleSeverity::kError, &CheckPrefix},
    RoutingRule{"timeout_zero", RuleSeverity::kError, &CheckTimeout},
    RoutingRule{"route_without_service", RuleSeverity::kError,
                &CheckRouteHasService},
    RoutingRule{"route_duplicate", RuleSeverity::kError, &CheckRouteDuplicate},
    RoutingRule{"service_unknown", RuleSeverity::kError, &CheckServiceKnown},
    RoutingRule{kUnusableRouteRule, RuleSeverity::kWarning, &CheckRouteUsable},
    RoutingRule{"host_with_port", RuleSeverity::kWarning, &CheckHost},
    RoutingRule{"prefix_unmatchable", RuleSeverity::kWarning,
                &CheckPrefixMatches},
    RoutingRule{"service_unused", RuleSeverity::kWarning, &CheckServiceUsed},
    RoutingRule{"service_duplicate", RuleSeverity::kWarning,
                &CheckServiceDuplicate},
    RoutingRule{"workspace_duplicate", RuleSeverity::kWarning,
                &CheckWorkspaceDuplicate},
    RoutingRule{"key_duplicate", RuleSeverity::kWarning, &CheckKeyDuplicate},
    RoutingRule{"key_empty", RuleSeverity::kWarning, &CheckKeyEmpty},
    RoutingRule{"workspace_without_keys", RuleSeverity::kWarning,
                &CheckWorkspaceHasKeys},
    RoutingRule{"route_without_keys", RuleSeverity::kWarning,
                &CheckRouteHasKeys},
    RoutingRule{"latency_above_timeout", RuleSeverity::kWarning,
                &CheckTargetLatency},
    RoutingRule{"attempts_above_timeout", RuleSeverity::kWarning,
                &CheckAttempts},
    RoutingRule{"weight_zero", RuleSeverity::kWarning, &CheckWeight},
    RoutingRule{"burst_below_one", RuleSeverity::kWarning, &CheckBurst},
    RoutingRule{"burst_without_rate", RuleSeverity::kWarning, &CheckRate},
    RoutingRule{"connections_zero", RuleSeverity::kWarning, &CheckConnections},
    RoutingRule{"request_timeout_zero", RuleSeverity::kWarning,
                &CheckRequestTimeouts},
    RoutingRule{"header_timeout_above_idle", RuleSeverity::kWarning,
                &CheckHeaderTimeout},
    RoutingRule{"header_limit_zero", RuleSeverity::kWarning, &CheckHeaderLimit},
};

void RunRule(const RoutingRule& rule,
             const RoutingConfig& config,
             Findings& findings) {
  const size_t before = findings.size();
  rule.m_check(config, findings);
  for (size_t i = before; i < findings.size(); ++i) {
    findings[i].m_rule = rule.m_name;
    findings[i].m_severity = rule.m_severity;
  }
}

}  // namespace

const char* NameOf(RuleSeverity severity) {
  return severity == RuleSeverity::kError ? "error" : "warning";
}

std::span<const RoutingRule> AllRoutingRules() {
  return kRules;
}

std::vector<RuleFinding> CheckRules(const RoutingConfig& config,
                                    RuleSeverity severity) {
  Findings findings;
  for (const RoutingRule& rule : kRules) {
    if (rule.m_severity == severity) {
      RunRule(rule, config, findings);
    }
  }
  return findings;
}

std::vector<RuleFinding> CheckRule(const RoutingConfig& config,
                                   std::string_view name) {
  Findings findings;
  const auto* rule = std::ranges::find(kRules, name, &RoutingRule::m_name);
  assert(rule != kRules.end());
  RunRule(*rule, config, findings);
  return findings;
}

bool IsNewer(const RoutingConfig& version, const RoutingConfig& in_force) {
  return version.m_version > in_force.m_version;
}

}  // namespace foxtail
