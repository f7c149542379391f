#include "daemon/operator_service.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <random>

#include "config/configuration_json.h"
#include "core/digest.h"
#include "core/error.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxAttempts = 4;
constexpr milliseconds kMaxRetryDelay{50};
constexpr double kPlacementBound = 1.1;
constexpr size_t kPlanIdSuffixLength = 6;  // characters

const RowKey& CurrentKey() {
  static const RowKey key = {"config", "current"};
  return key;
}

RowKey PlanKey(const std::string& id) {
  return {"plan", id};
}

// Reads a row; retries after a jittered delay while the platform doesn't
// respond.
RowResult ReadOrThrow(RecordRepository& store, const RowKey& key) {
  static thread_local std::minstd_rand random{std::random_device{}()};
  for (int i = 0; i < kMaxAttempts; ++i) {
    RowResult result = store.Read(key);
    if (result.m_outcome != RowOutcome::kNoResponse) {
      return result;
    }
    std::uniform_int_distribution<int64_t> jitter(kMaxRetryDelay.count() / 2,
                                                  kMaxRetryDelay.count());
    boost::this_fiber::sleep_for(milliseconds(jitter(random)));
  }
  throw Error(ErrorCode::kPlatformUnavailable, Execution::kNotRun, key.m_key);
}

std::string FormatErrors(const std::vector<ValidationError>& errors) {
  std::string text = std::to_string(errors.size()) + " faults";
  for (const ValidationError& error : errors) {
    text += "\n  " + error.m_path + ": " + error.m_reason;
  }
  return text;
}

void ThrowIfInvalid(const std::vector<ValidationError>& errors) {
  if (!errors.empty()) {
    throw Error(ErrorCode::kIntentInvalid, FormatErrors(errors));
  }
}

std::string NewPlanId() {
  return "p" + std::to_string(WallNow().time_since_epoch().count()) + "-" +
         RandomToken().substr(0, kPlanIdSuffixLength);
}

}  // namespace

OperatorService::OperatorService(ControlLoop& loop,
                                 RecordRepository& store,
                                 EventLog& events)
    : m_loop(loop), m_store(store), m_events(events) {}

OperatorService::CurrentVersion OperatorService::ReadCurrent() {
  const RowResult result = ReadOrThrow(m_store, CurrentKey());
  CurrentVersion current;
  current.m_row_version = result.m_version;
  if (const auto* record = std::get_if<CurrentConfigRecord>(&result.m_value)) {
    current.m_record = *record;
  }
  return current;
}

PlanRecord OperatorService::ReadPlan(const std::string& id,
                                     uint64_t& row_version) {
  const RowResult result = ReadOrThrow(m_store, PlanKey(id));
  const auto* plan = std::get_if<PlanRecord>(&result.m_value);
  if (!plan) {
    throw Error(ErrorCode::kPlanUnknown, id);
  }
  row_version = result.m_version;
  return *plan;
}

Configuration OperatorService::ReadConfiguration(uint64_t& version) {
  const CurrentVersion current = ReadCurrent();
  version = current.m_record.m_version;
  if (version == 0) {
    return {};
  }
  uint64_t row_version = 0;
  return ReadPlan(current.m_record.m_plan, row_version).m_configuration;
}

PlanRecord OperatorService::ProposeDocument(const Json::Value& document) {
  std::vector<ValidationError> errors;
  const Configuration proposed = ConfigurationFromJson(document, errors);
  ThrowIfInvalid(errors);
  uint64_t version = 0;
  const Configuration base = ReadConfiguration(version);
  return CreatePlan("apply a document", base, version, proposed);
}

PlanRecord OperatorService::ProposeChange(const ConfigurationChange& change) {
  uint64_t version = 0;
  const Configuration base = ReadConfiguration(version);
  Configuration proposed = base;
  std::vector<ValidationError> errors;
  ApplyChange(change, proposed, errors);
  ThrowIfInvalid(errors);
  ConfigurationFromJson(ConfigurationToJson(proposed), errors);
  ThrowIfInvalid(errors);
  return CreatePlan(change.m_kind + " " + change.m_name + " " + change.m_state,
                    base, version, proposed);
}

PlanRecord OperatorService::CreatePlan(const std::string& summary,
                                       const Configuration& base,
                                       uint64_t base_version,
                                       const Configuration& proposed) {
  std::vector<ValidationError> errors;
  ValidateChange(base, proposed, errors);
  ThrowIfInvalid(errors);
  PlanRecord plan;
  plan.m_id = NewPlanId();
  plan.m_summary = summary;
  plan.m_base_version = base_version;
  plan.m_configuration = proposed;
  plan.m_changes = DescribeChanges(base, proposed);
  std::map<std::string, AssignmentRecord> assignments;
  for (const ServiceConfig& service : proposed.m_services) {
    const RowResult row = ReadOrThrow(m_store, {"assignment", service.m_name});
    if (const auto* record = std::get_if<AssignmentRecord>(&row.m_value)) {
      assignments.emplace(service.m_name, *record);
    }
  }
  EstimateCost(BoundedLoadPlacement(kPlacementBound), assignments, plan);
  const RowResult written = m_store.Write(PlanKey(plan.m_id), 0, plan);
  if (written.m_outcome == RowOutcome::kNoResponse) {
    // The id is new, so reading the row shows whether the write took effect.
    uint64_t row_version = 0;
    plan = ReadPlan(plan.m_id, row_version);
  }
  m_events.Write(EventNumber::kPlanMade, {{"plan", plan.m_id},
                                          {"base", plan.m_base_version},
                                          {"moves", plan.m_moves}});
  return plan;
}

PlanRecord OperatorService::ShowPlan(const std::string& id) {
  uint64_t row_version = 0;
  return ReadPlan(id, row_version);
}

void OperatorService::ThrowStale(const PlanRecord& plan) {
  uint64_t version = 0;
  const Configuration current = ReadConfiguration(version);
  uint64_t ignored = 0;
  std::string detail = "plan " + plan.m_id + " was made against version " +
                       std::to_string(plan.m_base_version) + "; version " +
                       std::to_string(version) +
                       " is in force. Since the plan's base:";
  // The base configuration is that of the plan that was confirmed as the base
  // version.
  Configuration base;
  for (const std::string& id : m_store.List("plan")) {
    const PlanRecord other = ReadPlan(id, ignored);
    if (other.m_confirmed_version == plan.m_base_version &&
        other.m_state == PlanState::kConfirmed) {
      base = other.m_configuration;
    }
  }
  for (const std::string& line : DescribeChanges(base, current)) {
    detail += "\n  " + line;
  }
  throw Error(ErrorCode::kPlanStale, detail);
}

uint64_t OperatorService::Confirm(const std::string& id) {
  for (int i = 0; i < kMaxAttempts; ++i) {
    uint64_t plan_row_version = 0;
    PlanRecord plan = ReadPlan(id, plan_row_version);
    const CurrentVersion current = ReadCurrent();
    const bool in_force = current.m_record.m_plan == id;
    if (plan.m_state == PlanState::kConfirmed) {
      return plan.m_confirmed_version;
    }
    if (plan.m_state == PlanState::kAbandoned && !in_force) {
      throw Error(ErrorCode::kPlanUnknown, id + " was abandoned");
    }
    if (in_force) {
      plan.m_state = PlanState::kConfirmed;
      plan.m_confirmed_version = current.m_record.m_version;
      StorePlanState(plan, plan_row_version);
      return plan.m_confirmed_version;
    }
    if (current.m_record.m_version != plan.m_base_version) {
      ThrowStale(plan);
    }
    CurrentConfigRecord next;
    next.m_version = plan.m_base_version + 1;
    next.m_plan = id;
    next.m_confirmed_ms = WallNow().time_since_epoch().count();
    const RowResult written =
        m_store.Write(CurrentKey(), current.m_row_version, next);
    if (written.m_outcome == RowOutcome::kDone) {
      plan.m_state = PlanState::kConfirmed;
      plan.m_confirmed_version = next.m_version;
      StorePlanState(plan, plan_row_version);
      m_events.Write(EventNumber::kPlanConfirmed,
                     {{"plan", id}, {"version", next.m_version}});
      m_loop.PollConfig();
      return next.m_version;
    }
    // Another writer was first or the response was lost: the next attempt reads
    // the rows to find out.
  }
  throw Error(ErrorCode::kPlatformUnavailable,
              "it is unknown whether plan " + id +
                  " was confirmed; confirm it again to find out");
}

// Which plan is in force is decided by the row config/current; the state in the
// plan's row only records that.
void OperatorService::StorePlanState(PlanRecord plan, uint64_t row_version) {
  for (int i = 0; i < kMaxAttempts; ++i) {
    const RowResult result =
        m_store.Write(PlanKey(plan.m_id), row_version, plan);
    if (result.m_outcome == RowOutcome::kDone) {
      return;
    }
    ReadPlan(plan.m_id, row_version);
  }
}

void OperatorService::Abandon(const std::string& id) {
  uint64_t row_version = 0;
  PlanRecord plan = ReadPlan(id, row_version);
  if (plan.m_state != PlanState::kOpen || ReadCurrent().m_record.m_plan == id) {
    throw Error(ErrorCode::kPlanUnknown, id + " is not open");
  }
  plan.m_state = PlanState::kAbandoned;
  StorePlanState(plan, row_version);
  m_events.Write(EventNumber::kPlanAbandoned, {{"plan", id}});
}

std::vector<PlanRecord> OperatorService::History(size_t limit) {
  std::vector<std::string> ids = m_store.List("plan");
  std::ranges::sort(ids, std::ranges::greater());
  ids.resize(std::min(ids.size(), limit));
  std::vector<PlanRecord> plans;
  for (const std::string& id : ids) {
    plans.push_back(ShowPlan(id));
  }
  return plans;
}

void OperatorService::ReleaseCell(const std::string& cell) {
  const RowKey key = {"lease", cell};
  const RowResult row = ReadOrThrow(m_store, key);
  const auto* record = std::get_if<LeaseRecord>(&row.m_value);
  if (!record) {
    throw Error(ErrorCode::kRouteUnknown, "no cell '" + cell + "'");
  }
  LeaseRecord released = *record;
  released.m_released = true;
  const RowResult written = m_store.Write(key, row.m_version, released);
  if (written.m_outcome != RowOutcome::kDone) {
    throw Error(ErrorCode::kPlatformConflict,
                "the lease of '" + cell + "' changed meanwhile: it is held");
  }
}

}  // namespace foxtail
