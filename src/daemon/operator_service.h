#pragma once

#include <json/value.h>

#include <string>

#include "control/plan_builder.h"
#include "core/event.h"
#include "daemon/control_loop.h"
#include "store/record_repository.h"

namespace foxtail {

/// Operators' requests to a control process that change the configuration or
/// release a cell. Each method works on the table store, so that any control
/// process can handle any request. Failures are thrown as `Error`.
class OperatorService {
 public:
  OperatorService(ControlLoop& loop, RecordRepository& store, EventLog& events);

  /// Creates and stores a plan that replaces the whole configuration. Throws
  /// `Error(kIntentInvalid)` with all validation errors.
  PlanRecord ProposeDocument(const Json::Value& document);

  /// Creates and stores a plan that makes one change to the configuration.
  /// Throws `Error(kIntentInvalid)` with all validation errors.
  PlanRecord ProposeChange(const ConfigurationChange& change);

  /// Returns a stored plan. Throws `Error(kPlanUnknown)`.
  PlanRecord ShowPlan(const std::string& id);

  /// Puts a plan's configuration in force; returns the new version. Idempotent.
  /// Throws `Error(kPlanStale)`, with the changes since the plan's base, if
  /// another version is in force by now.
  uint64_t Confirm(const std::string& id);

  /// Discards an open plan. Throws `Error(kPlanUnknown)` if the plan is not
  /// open.
  void Abandon(const std::string& id);

  /// Returns up to `limit` plans, newest first.
  std::vector<PlanRecord> History(size_t limit);

  /// Returns the configuration in force; sets `version` to its version, or to 0
  /// if there is no configuration yet.
  Configuration ReadConfiguration(uint64_t& version);

  /// Releases a cell's control lease on behalf of its holder. Safe only if the
  /// operator has made sure that the holder and the standbys are gone for good.
  /// Throws `Error(kPlatformConflict)` if the lease changed meanwhile.
  void ReleaseCell(const std::string& cell);

 private:
  struct CurrentVersion {
    CurrentConfigRecord m_record;
    uint64_t m_row_version = 0;
  };

  CurrentVersion ReadCurrent();
  PlanRecord ReadPlan(const std::string& id, uint64_t& row_version);
  PlanRecord CreatePlan(const std::string& summary,
                        const Configuration& base,
                        uint64_t base_version,
                        const Configuration& proposed);
  void StorePlanState(PlanRecord plan, uint64_t row_version);
  [[noreturn]] void ThrowStale(const PlanRecord& plan);

  ControlLoop& m_loop;
  RecordRepository& m_store;
  EventLog& m_events;
};

}  // namespace foxtail
