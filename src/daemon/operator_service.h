#pragma once

#include <json/value.h>

#include <string>

#include "control/plan_builder.h"
#include "core/event.h"
#include "daemon/control_loop.h"
#include "store/record_repository.h"

namespace foxtail {

/// What operators may ask of a control process: intents, plans, confirmation,
/// status and explanations. Any control process answers. Failures are thrown as
/// typed errors.
class OperatorService {
 public:
  OperatorService(ControlLoop& loop, RecordRepository& store, EventLog& events);

  /// Makes and stores a plan that replaces the whole configuration.
  PlanRecord ProposeDocument(const Json::Value& document);

  /// Makes and stores a plan that changes one thing.
  PlanRecord ProposeChange(const IntentChange& change);

  /// Returns a stored plan. Throws `Error(kPlanUnknown)`.
  PlanRecord ShowPlan(const std::string& id);

  /// Makes a plan the configuration in force; returns the new version. Safe to
  /// repeat. Throws `Error(kPlanStale)` with what changed since.
  uint64_t Confirm(const std::string& id);

  /// Discards an open plan.
  void Abandon(const std::string& id);

  /// Returns the newest plans, newest first, at most `limit`.
  std::vector<PlanRecord> History(size_t limit);

  /// Returns the configuration in force and its version.
  Configuration ReadConfiguration(uint64_t& version);

  /// Gives a cell's lease free after the operator's word that its holder and
  /// standbys are gone for good.
  void ReleaseCell(const std::string& cell);

 private:
  struct CurrentVersion {
    CurrentConfigRecord m_record;
    uint64_t m_row_version = 0;
  };

  CurrentVersion ReadCurrent();
  PlanRecord ReadPlan(const std::string& id, uint64_t& row_version);
  PlanRecord StorePlan(const std::string& summary,
                       const Configuration& base,
                       uint64_t base_version,
                       const Configuration& proposed);
  void MarkPlan(PlanRecord plan, uint64_t row_version);
  [[noreturn]] void ThrowStale(const PlanRecord& plan);

  ControlLoop& m_loop;
  RecordRepository& m_store;
  EventLog& m_events;
};

}  // namespace foxtail
