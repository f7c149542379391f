#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/field_reader.h"
#include "control/placement_strategy.h"
#include "store/records.h"

namespace foxtail {

/// One change that an operator requests instead of applying a whole document.
struct ConfigurationChange {
  /// "data_centre", "server", "key_grant" or "key_withdraw".
  std::string m_kind;

  /// Data centre, server, or name of the API key.
  std::string m_name;

  /// Service to which the server belongs.
  std::string m_service;

  /// Workspace to which the API key belongs.
  std::string m_workspace;

  /// "serving" or "leaving".
  std::string m_state;

  /// Digest of a granted API key.
  std::string m_digest;
};

/// Applies one change to a configuration. Appends to `errors` if the change is
/// invalid.
void ApplyChange(const ConfigurationChange& change,
                 Configuration& configuration,
                 std::vector<ValidationError>& errors);

/// Appends the validation errors that depend on the configuration in force.
void ValidateChange(const Configuration& base,
                    const Configuration& proposed,
                    std::vector<ValidationError>& errors);

/// Returns one line per difference between two configurations.
std::vector<std::string> DescribeChanges(const Configuration& base,
                                         const Configuration& proposed);

/// Fills in how many partitions a plan moves and the expected pause, given the
/// recorded assignments of its services by name.
void EstimateCost(const PlacementStrategy& strategy,
                  const std::map<std::string, AssignmentRecord>& assignments,
                  PlanRecord& plan);

}  // namespace foxtail
