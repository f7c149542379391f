#include "core/event.h"

#include <json/json.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "core/error.h"
#include "core/non_blocking_sink.h"
#include "core/time.h"

namespace foxtail {
namespace {

using enum EventNumber;

constexpr std::array kCatalogue = {
    EventInfo{kProcessStarted, "process_started", "address",
              "The process listens and is ready."},
    EventInfo{kProcessStopping, "process_stopping", "",
              "Graceful shutdown began; the health check now fails."},
    EventInfo{kProcessStopped, "process_stopped", "",
              "Graceful shutdown is complete."},
    EventInfo{kSettingsKept, "settings_kept", "",
              "SIGHUP was received; settings are read only at startup."},
    EventInfo{kAddressInUse, "address_in_use", "error",
              "Another socket has an address of this process, which waits for "
              "it."},
    EventInfo{kTrafficThreadStalled, "traffic_thread_stalled", "silent_ms",
              "The thread that serves clients has stopped running its fibers."},
    EventInfo{kTrafficThreadResumed, "traffic_thread_resumed", "silent_ms",
              "The thread that serves clients runs again."},
    EventInfo{kControlLeaseAcquired, "control_lease_acquired", "cell epoch",
              "This process controls the cell from now on."},
    EventInfo{kControlLeaseLost, "control_lease_lost", "cell epoch",
              "The control lease expired or another process acquired it."},
    EventInfo{
        kControlLeaseExtended, "control_lease_extended", "cell epoch",
        "The platform is unreachable; the standbys promised not to take over."},
    EventInfo{kControlLeaseReleased, "control_lease_released", "cell epoch",
              "The control lease was released during graceful shutdown."},
    EventInfo{kPromiseGiven, "promise_given", "cell holder",
              "This standby promised the holder not to take over."},
    EventInfo{kPlatformUnreachable, "platform_unreachable", "error table",
              "The platform's table store stopped responding."},
    EventInfo{kPlatformReachable, "platform_reachable", "table",
              "The platform's table store responds again."},
    EventInfo{kAssignmentRecorded, "assignment_recorded",
              "cell epoch version moves",
              "A new assignment was stored in the platform."},
    EventInfo{kPartitionMoveStarted, "partition_move_started",
              "cell partition from to", "A partition is being moved."},
    EventInfo{kPartitionMoveFinished, "partition_move_finished",
              "cell partition server epoch milliseconds",
              "The new owner may receive requests."},
    EventInfo{kPartitionsMoving, "partitions_moving", "cell count ranges",
              "Moves decided on in one step, as FROM>TO:RANGE,RANGE."},
    EventInfo{kPartitionsMoved, "partitions_moved", "cell count ranges",
              "New owners that have confirmed grants, as SERVER:RANGE@TOKEN+MS "
              "with the time since the move began."},
    EventInfo{kOwnersTakenOver, "owners_taken_over",
              "cell confirmed longest_ms unconfirmed ranges",
              "Recorded owners that have confirmed a new leader's grants since "
              "it took over, and the ranges of those that have not."},
    EventInfo{kServerDown, "server_down", "cell server",
              "Probes or dispatchers found the backend server unreachable."},
    EventInfo{kServerUp, "server_up", "cell server",
              "The backend server responds to probes."},
    EventInfo{kServerCold, "server_cold", "server",
              "The dispatcher began a cold-start ramp."},
    EventInfo{kServerUnlisted, "server_unlisted", "cell server",
              "The backend server is no longer registered."},
    EventInfo{kServerDraining, "server_draining", "cell server",
              "The backend server accepts no new work and is about to stop."},
    EventInfo{kServerReplaced, "server_replaced",
              "cell address server incarnation successor "
              "successor_incarnation",
              "A younger backend server, or a later start of this one, has "
              "registered."},
    EventInfo{kRegistrationHeld, "registration_held",
              "cell server incarnation current",
              "A registration may be a late one of an earlier start of the "
              "backend server and is not used yet."},
    EventInfo{kDispatcherAppointed, "dispatcher_appointed",
              "cell server dispatcher",
              "An entry received the dispatch lease of a backend server."},
    EventInfo{kDispatcherLapsed, "dispatcher_lapsed", "cell server dispatcher",
              "A dispatch lease expired or was released."},
    EventInfo{kOrderFailed, "order_failed",
              "order server address incarnation partition epoch outcome calls",
              "Grant calls or release calls to a backend server were not "
              "confirmed. Range and token are those of the first."},
    EventInfo{kOutageHolds, "outage_holds", "",
              "The store does not respond to the leader; grants get the "
              "maximum TTL."},
    EventInfo{kStoreEraChanged, "store_era_changed", "era",
              "The store has come back from an old copy."},
    EventInfo{kStoreHistoryKnown, "store_history_known",
              "era configuration evacuations servers",
              "A member has told this process, which has started in a later "
              "era of the store, what was in force before."},
    EventInfo{kStoreHistoryUnknown, "store_history_unknown",
              "era asked configuration",
              "No member has told this process what was in force before the "
              "era of the store; it goes by the copy."},
    EventInfo{kEvacuationChanged, "evacuation_changed", "data_centres",
              "The list of data centres to evacuate has changed."},
    EventInfo{kTokensIssued, "tokens_issued",
              "workspace rate burst requested issued spent returned "
              "share_charged stock outstanding withheld",
              "Rate tokens that the leader issued since the last such event, "
              "and what it holds."},
    EventInfo{kRolloutStep, "rollout_step",
              "cell target step share_permille requests target_requests",
              "A rollout gives the target version another share of the "
              "requests; requests so far, of all versions and of this one."},
    EventInfo{kRolloutEnded, "rollout_ended",
              "cell target state reason route bad responses requests "
              "target_requests",
              "A rollout is completed or rolled back; for a rollback the kind "
              "of the bad responses, their route (empty for all) and numbers."},
    EventInfo{kPlanMade, "plan_made", "plan base moves",
              "A plan was stored and awaits confirmation."},
    EventInfo{kPlanConfirmed, "plan_confirmed", "plan version",
              "A plan became the configuration with this version."},
    EventInfo{kPlanAbandoned, "plan_abandoned", "plan",
              "A plan was discarded."},
    EventInfo{kConfigurationInForce, "configuration_in_force", "version",
              "This process applies the configuration version."},
    EventInfo{kRowUnreadable, "row_unreadable", "table key error",
              "A row of the store could not be read and is ignored."},
    EventInfo{kDirectoryRead, "directory_read", "table rows version",
              "A watched table of the store was read in full."},
    EventInfo{kRoutesUnusable, "routes_unusable", "version routes first reason",
              "Routes of the configuration are of an unknown kind; their "
              "requests are refused."},
    EventInfo{kConfigurationWithheld, "configuration_withheld", "version known",
              "The configuration is of an old copy of the store; a newer one "
              "was in force, so this one is not used."},
    EventInfo{kDispatchLeaseTaken, "dispatch_lease_taken", "cell server epoch",
              "This entry may send to the backend server."},
    EventInfo{kDispatchLeaseReleased, "dispatch_lease_released",
              "cell server epoch",
              "This entry no longer sends to the backend server."},
    EventInfo{kRequestRefused, "request_refused",
              "request workspace service server attempt age_ms version error",
              "A request was refused and did not run."},
    EventInfo{kRequestUnknown, "request_unknown",
              "request workspace service server attempt age_ms version error",
              "It is unknown whether the request ran."},
    EventInfo{kRequestRetried, "request_retried",
              "request workspace service server attempt age_ms version reason",
              "A request is sent again."},
    EventInfo{kEventsSuppressed, "events_suppressed", "kind count",
              "Events of a kind over its rate were counted and not written."},
    EventInfo{kTrafficSummary, "traffic_summary",
              "requests served refused failed in_flight configuration_age_ms "
              "version",
              "Counts of requests since the last summary."},
    EventInfo{kAdmissionSummary, "admission_summary",
              "workspace leader_token equal_share refused_by_leader "
              "refused_without_leader",
              "How a workspace's requests were admitted or refused by rate "
              "since the last summary."},
    EventInfo{kPermitSummary, "permit_summary",
              "service priority granted waited_ms refused_at_arrival "
              "refused_later abandoned refused_by_server",
              "What became of the requests for permits of the backend servers "
              "that this host schedules, since the last summary; waited_ms is "
              "the mean wait of those granted."},
    EventInfo{kResourcesShort, "resources_short",
              "refused closed held capacity resident connections "
              "server_connections",
              "Refusals and closed connections since the last summary for lack "
              "of memory or descriptors, and what is held, in bytes."},
    EventInfo{kRequestSuspected, "request_suspected", "cell server fingerprint",
              "A request was in flight when its backend server crashed."},
    EventInfo{kRequestCondemned, "request_condemned", "cell fingerprint",
              "Requests with this content are refused for a while."},
    EventInfo{kAccessStale, "access_stale", "milliseconds",
              "The entry received no update of API keys for too long."},
    EventInfo{kInternalFailure, "internal_failure", "error",
              "An unexpected exception was caught."},
};

const EventInfo& InfoOfEvent(EventNumber number) {
  return *std::ranges::find(kCatalogue, number, &EventInfo::m_number);
}

std::string Encode(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

std::span<const EventInfo> EventCatalogue() {
  return kCatalogue;
}

EventLog::EventLog(std::string process, const std::string& path)
    : m_process(std::move(process)) {
  std::shared_ptr<spdlog::sinks::sink> sink;
  try {
    if (path == "-" || path.empty()) {
      m_output = std::make_shared<NonBlockingSink>(
          path.empty() ? STDERR_FILENO : STDOUT_FILENO);
      sink = m_output;
    } else {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
    }
  } catch (const spdlog::spdlog_ex& failure) {
    throw Error(ErrorCode::kSettingInvalid, failure.what());
  }
  m_logger = std::make_shared<spdlog::logger>(m_process, std::move(sink));
  m_logger->set_pattern("%v");
  m_logger->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

void EventLog::Write(EventNumber number,
                     const std::vector<EventField>& fields) {
  if (const uint64_t dropped = m_output ? m_output->TakeDropped() : 0) {
    WriteLine(kEventsSuppressed, {{"kind", "log"}, {"count", dropped}});
  }
  WriteLine(number, fields);
}

void EventLog::WriteLine(EventNumber number,
                         const std::vector<EventField>& fields) {
  Json::Value line;
  line["time_ms"] =
      static_cast<Json::Int64>(WallNow().time_since_epoch().count());
  line["process"] = m_process;
  line["sequence"] = static_cast<Json::UInt64>(++m_sequence);
  line["number"] = static_cast<int>(number);
  line["event"] = std::string(InfoOfEvent(number).m_name);
  for (const EventField& field : fields) {
    Json::Value& slot = line[std::string(field.m_name)];
    if (const auto* text = std::get_if<std::string>(&field.m_value)) {
      slot = *text;
    } else {
      slot = static_cast<Json::Int64>(std::get<int64_t>(field.m_value));
    }
  }
  m_logger->info(Encode(line));
}

}  // namespace foxtail
