#include "routing/routing_difference.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <map>
#include <set>
#include <span>
#include <utility>

namespace foxtail {
namespace {

using enum ConfigField;
using Differences = std::vector<ConfigDifference>;

// A field of entries of one kind, as text.
template <typename Entry>
struct ComparedField {
  ConfigField m_field;
  std::string (*m_text)(const Entry& entry);
};

std::string TextOf(bool value) {
  return value ? "true" : "false";
}

std::string TextOf(const std::string& value) {
  return value;
}

std::string TextOf(Duration value) {
  return fmt::format("{:g}", ToSeconds(value));
}

template <typename Number>
std::string TextOf(Number value) {
  return fmt::format("{}", value);
}

template <typename Entry, auto kMember>
std::string TextOfMember(const Entry& entry) {
  return TextOf(entry.*kMember);
}

// A kind that the program does not know is known by its text only.
std::string KindOf(const RouteRow& route) {
  if (!route.m_unusable_reason.empty()) {
    return route.m_unusable_reason;
  }
  return route.m_idempotent ? "idempotent" : "not idempotent";
}

std::string ServicesOf(const RouteRow& route) {
  std::string text;
  for (const WeightedService& part : route.m_services) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : " ", part.m_service,
                        part.m_weight);
  }
  for (const std::string& service : route.m_idle_services) {
    text += fmt::format("{}{}:0", text.empty() ? "" : " ", service);
  }
  return text;
}

std::string PriorityOf(const RoutedWorkspace& workspace) {
  return workspace.m_has_priority ? TextOf(workspace.m_priority) : "none";
}

constexpr std::array kRouteFields = {
    ComparedField<RouteRow>{kHost, &TextOfMember<RouteRow, &RouteRow::m_host>},
    ComparedField<RouteRow>{kPrefix,
                            &TextOfMember<RouteRow, &RouteRow::m_prefix>},
    ComparedField<RouteRow>{kRouteKind, &KindOf},
    ComparedField<RouteRow>{kPublic,
                            &TextOfMember<RouteRow, &RouteRow::m_public>},
    ComparedField<RouteRow>{kTimeout,
                            &TextOfMember<RouteRow, &RouteRow::m_timeout>},
    ComparedField<RouteRow>{
        kTargetLatency, &TextOfMember<RouteRow, &RouteRow::m_target_latency>},
    ComparedField<RouteRow>{kPriority,
                            &TextOfMember<RouteRow, &RouteRow::m_priority>},
    ComparedField<RouteRow>{kMaxAttempts,
                            &TextOfMember<RouteRow, &RouteRow::m_max_attempts>},
    ComparedField<RouteRow>{kServices, &ServicesOf},
};

constexpr std::array kServiceFields = {
    ComparedField<RoutedService>{
        kSharded, &TextOfMember<RoutedService, &RoutedService::m_sharded>},
    ComparedField<RoutedService>{
        kMaxConnections,
        &TextOfMember<RoutedService, &RoutedService::m_max_connections>},
    ComparedField<RoutedService>{
        kColdRate, &TextOfMember<RoutedService, &RoutedService::m_cold_rate>},
};

constexpr std::array kWorkspaceFields = {
    ComparedField<RoutedWorkspace>{
        kRate, &TextOfMember<RoutedWorkspace, &RoutedWorkspace::m_rate>},
    ComparedField<RoutedWorkspace>{
        kBurst, &TextOfMember<RoutedWorkspace, &RoutedWorkspace::m_burst>},
    ComparedField<RoutedWorkspace>{kPriority, &PriorityOf},
};

constexpr std::array kLimitFields = {
    ComparedField<RequestLimits>{
        kHeaderLimit,
        &TextOfMember<RequestLimits, &RequestLimits::m_header_limit>},
    ComparedField<RequestLimits>{
        kBodyLimit, &TextOfMember<RequestLimits, &RequestLimits::m_body_limit>},
    ComparedField<RequestLimits>{
        kHeaderTimeout,
        &TextOfMember<RequestLimits, &RequestLimits::m_header_timeout>},
    ComparedField<RequestLimits>{
        kIdleTimeout,
        &TextOfMember<RequestLimits, &RequestLimits::m_idle_timeout>},
};

template <typename Entry>
void CompareFields(ConfigSection section,
                   const std::string& name,
                   const Entry& before,
                   const Entry& after,
                   std::span<const ComparedField<Entry>> fields,
                   Differences& differences) {
  for (const ComparedField<Entry>& field : fields) {
    std::string old_text = field.m_text(before);
    std::string new_text = field.m_text(after);
    if (old_text != new_text) {
      differences.push_back({DifferenceKind::kChanged, section, name,
                             field.m_field, std::move(old_text),
                             std::move(new_text)});
    }
  }
}

// Returns how many digests of `some` are not among `others`.
size_t CountMissing(const std::set<std::string>& some,
                    const std::set<std::string>& others) {
  return static_cast<size_t>(
      std::ranges::count_if(some, [&others](const std::string& digest) {
        return !others.contains(digest);
      }));
}

void CompareKeys(const RoutedWorkspace& before,
                 const RoutedWorkspace& after,
                 Differences& differences) {
  const auto digests = [](const RoutedWorkspace& workspace) {
    return std::set<std::string>(workspace.m_key_digests.begin(),
                                 workspace.m_key_digests.end());
  };
  const std::set<std::string> old_keys = digests(before);
  const std::set<std::string> new_keys = digests(after);
  if (old_keys != new_keys) {
    differences.push_back(
        {DifferenceKind::kChanged, ConfigSection::kWorkspaces, after.m_name,
         kKeys, fmt::format("{} keys", old_keys.size()),
         fmt::format("{} keys, {} added, {} removed", new_keys.size(),
                     CountMissing(new_keys, old_keys),
                     CountMissing(old_keys, new_keys))});
  }
}

// Returns the entries by name. Further entries of a name have a number.
template <typename Entry>
std::map<std::string, const Entry*> EntriesByName(
    const std::vector<Entry>& entries) {
  std::map<std::string, const Entry*> by_name;
  for (const Entry& entry : entries) {
    std::string name = entry.m_name;
    for (size_t i = 2; by_name.contains(name); ++i) {
      name = fmt::format("{}#{}", entry.m_name, i);
    }
    by_name[name] = &entry;
  }
  return by_name;
}

template <typename Entry>
void CompareEntries(ConfigSection section,
                    const std::vector<Entry>& before,
                    const std::vector<Entry>& after,
                    std::span<const ComparedField<Entry>> fields,
                    Differences& differences) {
  const auto old_entries = EntriesByName(before);
  const auto new_entries = EntriesByName(after);
  for (const auto& [name, entry] : old_entries) {
    const auto found = new_entries.find(name);
    if (found == new_entries.end()) {
      differences.push_back(
          {DifferenceKind::kRemoved, section, name, kEntry, "", ""});
      continue;
    }
    CompareFields(section, name, *entry, *found->second, fields, differences);
    if constexpr (std::is_same_v<Entry, RoutedWorkspace>) {
      CompareKeys(*entry, *found->second, differences);
    }
  }
  for (const auto& [name, entry] : new_entries) {
    if (!old_entries.contains(name)) {
      differences.push_back(
          {DifferenceKind::kAdded, section, name, kEntry, "", ""});
    }
  }
}

constexpr std::array<const char*, 3> kKindNames = {"added", "removed",
                                                   "changed"};

}  // namespace

const char* NameOf(DifferenceKind kind) {
  const auto index = static_cast<size_t>(kind);
  assert(index < kKindNames.size());
  return kKindNames.at(index);
}

std::vector<ConfigDifference> FindDifferences(const RoutingConfig& before,
                                              const RoutingConfig& after) {
  Differences differences;
  CompareEntries<RouteRow>(ConfigSection::kRoutes, before.m_routes,
                           after.m_routes, kRouteFields, differences);
  CompareEntries<RoutedService>(ConfigSection::kServices, before.m_services,
                                after.m_services, kServiceFields, differences);
  CompareEntries<RoutedWorkspace>(ConfigSection::kWorkspaces,
                                  before.m_workspaces, after.m_workspaces,
                                  kWorkspaceFields, differences);
  CompareFields<RequestLimits>(ConfigSection::kLimits, "", before.m_limits,
                               after.m_limits, kLimitFields, differences);
  return differences;
}

}  // namespace foxtail
