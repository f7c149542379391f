#include "core/error.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace foxtail {
namespace {

constexpr auto kNotRun = Execution::kNotRun;
constexpr auto kUnknown = Execution::kUnknown;

// `kNotRun` is the default only for errors where no byte of the request can
// have reached a backend server, or where the server itself reported that it
// did not run the request.
constexpr std::array kErrors = {
    ErrorInfo{ErrorCode::kApiKeyMissing, "api_key_missing", 401, kNotRun,
              "the request carries no API key"},
    ErrorInfo{ErrorCode::kApiKeyUnknown, "api_key_unknown", 401, kNotRun,
              "the API key is unknown or withdrawn"},
    ErrorInfo{ErrorCode::kWorkspaceNotAllowed, "workspace_not_allowed", 403,
              kNotRun, "the workspace may not call this service"},
    ErrorInfo{ErrorCode::kRouteUnknown, "route_unknown", 404, kNotRun,
              "no service has this route"},
    ErrorInfo{ErrorCode::kRouteUnusable, "route_unusable", 503, kNotRun,
              "the route is of a kind that this program does not know"},
    ErrorInfo{ErrorCode::kPartitionKeyMissing, "partition_key_missing", 400,
              kNotRun, "the header x-partition-key is missing"},
    ErrorInfo{ErrorCode::kPartitionNotServed, "partition_not_served", 503,
              kNotRun, "the partition has no owner at the moment"},
    ErrorInfo{ErrorCode::kRateExceeded, "rate_exceeded", 429, kNotRun,
              "the workspace is over its rate and burst"},
    ErrorInfo{ErrorCode::kRequestMalformed, "request_malformed", 400, kNotRun,
              "the request is not well-formed HTTP"},
    ErrorInfo{ErrorCode::kRequestTooLarge, "request_too_large", 413, kNotRun,
              "the request is over the size limit"},
    ErrorInfo{ErrorCode::kHeaderTooLarge, "header_too_large", 431, kNotRun,
              "the request's header fields are over the size limit"},
    ErrorInfo{ErrorCode::kRequestIdMalformed, "request_id_malformed", 400,
              kNotRun,
              "x-request-id must be UNIX_MILLISECONDS-NAME on this route"},
    ErrorInfo{ErrorCode::kRequestDuplicate, "request_duplicate", 409, kUnknown,
              "a request with this id was accepted before"},
    ErrorInfo{ErrorCode::kRequestUnverifiable, "request_unverifiable", 409,
              kUnknown,
              "the id is older than this dispatcher's record; it may have run"},
    ErrorInfo{ErrorCode::kRequestQuarantined, "request_quarantined", 422,
              kNotRun, "requests like this one crashed backend servers"},
    ErrorInfo{ErrorCode::kServerQueueFull, "server_queue_full", 503, kNotRun,
              "the queue of the owning backend server is full"},
    ErrorInfo{ErrorCode::kServerRefused, "server_refused", 503, kNotRun,
              "the backend server refused the request before running it"},
    ErrorInfo{ErrorCode::kServerLost, "server_lost", 502, kUnknown,
              "the connection broke after the request was sent"},
    ErrorInfo{ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504, kUnknown,
              "no answer arrived within the deadline"},
    ErrorInfo{ErrorCode::kAccessStale, "access_stale", 503, kNotRun,
              "this entry has had no fresh word on API keys"},
    ErrorInfo{ErrorCode::kConfigurationUnknown, "configuration_unknown", 503,
              kNotRun,
              "this entry has not read a configuration yet, or only one of an "
              "old copy of the store while a newer one was in force"},
    ErrorInfo{ErrorCode::kAnswerInvalid, "answer_invalid", 502, kUnknown,
              "the backend server's answer was incomplete or not its own"},
    ErrorInfo{ErrorCode::kServerSaturated, "server_saturated", 503, kNotRun,
              "the request could not be served within its deadline"},
    ErrorInfo{ErrorCode::kHostOverloaded, "host_overloaded", 503, kNotRun,
              "this host holds too much for other clients"},
    ErrorInfo{ErrorCode::kClientLeft, "client_left", 499, kUnknown,
              "the client left before it was answered"},
    ErrorInfo{ErrorCode::kDispatcherLost, "dispatcher_lost", 502, kUnknown,
              "the dispatching entry was lost after the request was sent"},
    ErrorInfo{ErrorCode::kNotDispatcher, "not_dispatcher", 421, kNotRun,
              "this entry does not hold the dispatch lease of the server"},
    ErrorInfo{ErrorCode::kStopping, "stopping", 503, kNotRun,
              "the process is shutting down"},
    ErrorInfo{ErrorCode::kSettingInvalid, "setting_invalid", 400, kNotRun,
              "a setting is unknown, unreadable or out of range"},
    ErrorInfo{ErrorCode::kIntentInvalid, "intent_invalid", 400, kNotRun,
              "the intent has faults"},
    ErrorInfo{ErrorCode::kPlanStale, "plan_stale", 409, kNotRun,
              "the configuration changed after the plan was made"},
    ErrorInfo{ErrorCode::kPlanUnknown, "plan_unknown", 404, kNotRun,
              "there is no plan with this id"},
    ErrorInfo{ErrorCode::kPlatformUnavailable, "platform_unavailable", 503,
              kUnknown, "the platform's table service does not answer"},
    ErrorInfo{ErrorCode::kPlatformConflict, "platform_conflict", 409, kNotRun,
              "another writer changed the row first"},
    ErrorInfo{ErrorCode::kNotController, "not_controller", 421, kNotRun,
              "this process does not hold the control lease of the cell"},
    ErrorInfo{ErrorCode::kClusterSecretWrong, "cluster_secret_wrong", 403,
              kNotRun, "the request does not show the cluster's secret"},
    ErrorInfo{ErrorCode::kMessageMalformed, "message_malformed", 400, kNotRun,
              "a message could not be decoded"},
    ErrorInfo{ErrorCode::kNetwork, "network", 502, kUnknown,
              "a connection failed"},
    ErrorInfo{ErrorCode::kInternal, "internal", 500, kUnknown,
              "an unexpected failure"},
};

std::string MessageOf(ErrorCode code, const std::string& detail) {
  std::string message(InfoOf(code).m_brief);
  if (!detail.empty()) {
    message += ": " + detail;
  }
  return message;
}

}  // namespace

const ErrorInfo& InfoOf(ErrorCode code) {
  const ErrorInfo& info = kErrors.at(static_cast<size_t>(code));
  assert(info.m_code == code);
  return info;
}

std::span<const ErrorInfo> AllErrors() {
  return kErrors;
}

ErrorCode ErrorCodeFromName(std::string_view name) {
  const auto found = std::ranges::find(kErrors, name, &ErrorInfo::m_name);
  return found == kErrors.end() ? ErrorCode::kInternal : found->m_code;
}

std::string_view NameOf(Execution execution) {
  constexpr std::array<std::string_view, 3> kNames = {"not_run", "ran",
                                                      "unknown"};
  return kNames.at(static_cast<size_t>(execution));
}

Error::Error(ErrorCode code, const std::string& detail)
    : Error(code, InfoOf(code).m_execution, detail) {}

Error::Error(ErrorCode code, Execution execution, const std::string& detail)
    : std::runtime_error(MessageOf(code, detail)),
      m_code(code),
      m_execution(execution),
      m_detail(detail) {}

}  // namespace foxtail
