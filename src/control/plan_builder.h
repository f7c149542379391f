#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/field_reader.h"
#include "control/placement_strategy.h"
#include "store/records.h"

namespace foxtail {

/// One change that an operator asks for, in place of a whole document.
struct IntentChange {
  /// "data_centre", "server", "key_grant" or "key_withdraw".
  std::string m_kind;

  /// Data centre, server, or name of the API key.
  std::string m_name;

  /// Service of a server.
  std::string m_service;

  /// Workspace of an API key.
  std::string m_workspace;

  /// "serving" or "leaving".
  std::string m_state;

  /// Digest of a granted API key.
  std::string m_digest;
};

/// Applies one change to a configuration; adds faults when it cannot.
void ApplyChange(const IntentChange& change,
                 Configuration& configuration,
                 std::vector<ValidationError>& faults);

/// Adds the faults that only show against the configuration in force.
void CheckAgainst(const Configuration& base,
                  const Configuration& proposed,
                  std::vector<ValidationError>& faults);

/// Returns one line per difference between two configurations.
std::vector<std::string> DescribeChanges(const Configuration& base,
                                         const Configuration& proposed);

/// Fills in what a plan moves and costs, given the recorded assignments of its
/// services.
void EstimateCost(const PlacementStrategy& strategy,
                  const std::map<std::string, AssignmentRecord>& assignments,
                  PlanRecord& plan);

}  // namespace foxtail
