#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/configuration.h"

namespace foxtail {

/// A control process: the id of its incarnation and its JSON-RPC address. A
/// restarted process is another incarnation.
struct ControlProcess {
  std::string m_incarnation;
  std::string m_address;

  auto operator<=>(const ControlProcess&) const = default;
};

/// Row lease/CELL: the control lease of a cell.
struct LeaseRecord {
  ControlProcess m_holder;

  /// Grows by one with each takeover.
  uint64_t m_epoch = 0;

  /// Grows by one with each renewal, so that each renewal changes the row.
  uint64_t m_renewals = 0;

  /// Processes that may take over once the lease has expired.
  std::vector<ControlProcess> m_standbys;

  /// Set on a graceful shutdown: any process may take over at once.
  bool m_released = false;

  bool operator==(const LeaseRecord&) const = default;
};

/// Owner of one partition.
struct PartitionOwner {
  PartitionNumber m_number = 0;

  /// Name of the backend server.
  std::string m_server;

  /// Fencing epoch; grows by one with each change of owner.
  uint64_t m_epoch = 0;

  /// Previous owner, kept until its grant is known to have ended. A successor
  /// of the controller finishes the move from this state.
  std::string m_previous;

  bool operator==(const PartitionOwner&) const = default;
};

/// Row assignment/CELL: the owners of all partitions of a cell.
struct AssignmentRecord {
  /// Epoch of the controller that wrote the row.
  uint64_t m_control_epoch = 0;

  /// Grows by one with each write.
  uint64_t m_version = 0;
  std::vector<PartitionOwner> m_owners;

  bool operator==(const AssignmentRecord&) const = default;
};

/// Row config/current: which configuration is in force.
struct CurrentConfigRecord {
  uint64_t m_version = 0;

  /// Id of the plan that was confirmed as this version.
  std::string m_plan;

  /// Wall time of the confirmation, Unix milliseconds.
  int64_t m_confirmed_ms = 0;

  bool operator==(const CurrentConfigRecord&) const = default;
};

/// State of a plan.
enum class PlanState {
  kOpen,
  kConfirmed,
  kAbandoned,
};

/// Row plan/ID: a proposed configuration and its cost.
struct PlanRecord {
  std::string m_id;

  /// Human-readable summary of the change that the operator requested.
  std::string m_summary;

  /// Configuration version the plan was computed against.
  uint64_t m_base_version = 0;
  PlanState m_state = PlanState::kOpen;
  uint64_t m_moves = 0;

  /// Sum over all moves of the expected time for which requests are paused, in
  /// milliseconds.
  double m_unavailable_ms = 0;

  /// Configuration version of the plan once it is confirmed.
  uint64_t m_confirmed_version = 0;

  /// Human-readable description, one line per change.
  std::vector<std::string> m_changes;
  Configuration m_configuration;

  bool operator==(const PlanRecord&) const = default;
};

/// Value of any row that the project stores in the platform's table store.
using RecordValue = std::variant<std::monostate,
                                 LeaseRecord,
                                 AssignmentRecord,
                                 CurrentConfigRecord,
                                 PlanRecord>;

}  // namespace foxtail
