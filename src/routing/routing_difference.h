#pragma once

#include <string>
#include <vector>

#include "routing/routing_rules.h"

namespace foxtail {

/// Kinds of differences between two configuration versions.
enum class DifferenceKind {
  kAdded,
  kRemoved,
  kChanged,
};

/// Returns "added", "removed" or "changed".
const char* NameOf(DifferenceKind kind);

/// An entry that only one of two versions has, or a field in which they differ.
struct ConfigDifference {
  DifferenceKind m_kind = DifferenceKind::kChanged;
  ConfigSection m_section = ConfigSection::kDocument;

  /// Name of the entry; empty for sections without entries.
  std::string m_entry;

  /// The rest is set if the entry changed.
  ConfigField m_field = ConfigField::kEntry;
  std::string m_before;
  std::string m_after;
};

/// Compares two versions entry by entry. Entries with the same name are the
/// same entry; their order has no meaning. Keys are counted and not shown.
std::vector<ConfigDifference> FindDifferences(const RoutingConfig& before,
                                              const RoutingConfig& after);

}  // namespace foxtail
