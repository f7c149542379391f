#include "gateway/request_handler.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/error.h"
#include "gateway/cold_start_limit.h"
#include "gateway/tracked_body_stream.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Larger response bodies are passed on in pieces. A response that breaks off
// within this many bytes can still be replaced by that of another server.
constexpr size_t kMaxBufferedBody = 64 * 1024;  // bytes

// Backend servers close idle connections after some seconds. The shorter limit
// here keeps requests off connections that are about to close.
constexpr HttpClientSettings kClientSettings{
    .m_max_idle_connections = 16,
    .m_max_idle_time = std::chrono::seconds(6),
    .m_connect_timeout = milliseconds(300),
    // Longer than a round trip between data centres of a region.
    .m_settle_time = milliseconds(3)};

// Responses are accepted for this long after the deadline that was sent to the
// server.
constexpr milliseconds kResponseMargin{15};

// Longest wait of a request for a key without an owner, or for a pause to end:
// a planned move takes less, an unplanned one seconds.
constexpr milliseconds kOwnerTimeout{700};

// Retry delays sent to clients, by the cause of the error.
constexpr milliseconds kOwnerRetryAfter{300};
constexpr milliseconds kRateRetryAfter{500};
constexpr milliseconds kSaturatedRetryAfter{150};
constexpr milliseconds kConfigurationRetryAfter{500};

// Deadline of requests that do not specify one.
constexpr std::chrono::seconds kDefaultDeadline{60};

// Requests with less time left are not sent, because no server responds so
// quickly.
constexpr milliseconds kMinAttemptTime{8};

// Limit on the retries that a service's budget accumulates on this host. The
// limit is small because every host accumulates its own budget and the overall
// limit applies to their sum.
constexpr double kMaxSavedRetries = 3;

// A request that this many cold servers have no room for is refused.
constexpr uint32_t kMaxColdRefusals = 2;

// Delay before a retry at the same server after a refusal.
constexpr milliseconds kRefusalRetryDelay{40};

// A request that was granted servers that it could not be sent to this many
// times is refused: what this host and the schedulers know differs too much.
constexpr uint32_t kMaxUnusedPermits = 4;

// A request that has found no server this many times waits before it looks for
// one again: until the next snapshot, or for a delay. The servers that it may
// pass over before it is refused count, so they cause no wait.
constexpr uint32_t kMaxImmediateSearches = kMaxColdRefusals + kMaxUnusedPermits;
constexpr milliseconds kSearchRetryDelay{40};

struct RetryAfterRow {
  ErrorCode m_code;
  milliseconds m_delay;
};

constexpr std::array kRetryAfter = {
    RetryAfterRow{ErrorCode::kRateExceeded, kRateRetryAfter},
    RetryAfterRow{ErrorCode::kPartitionNotServed, kOwnerRetryAfter},
    RetryAfterRow{ErrorCode::kServerSaturated, kSaturatedRetryAfter},
    RetryAfterRow{ErrorCode::kServerRefused, kSaturatedRetryAfter},
    RetryAfterRow{ErrorCode::kServerQueueFull, kSaturatedRetryAfter},
    RetryAfterRow{ErrorCode::kConfigurationUnknown, kConfigurationRetryAfter},
    RetryAfterRow{ErrorCode::kAccessStale, kConfigurationRetryAfter},
};

}  // namespace

/// State of one request while it is handled.
struct RequestHandler::RequestContext {
  ClientRequest m_request;
  std::shared_ptr<Cancellation> m_cancellation;
  TimePoint m_started_at;
  TimePoint m_deadline;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;

  /// Configuration that admitted the request. Keeps alive the route and the
  /// workspace that the pointers below refer to.
  std::shared_ptr<const RouteIndex> m_routes;
  const RouteRow* m_route = nullptr;
  const RoutedWorkspace* m_workspace = nullptr;

  /// What admitted the request within the workspace's rate.
  RateDecision m_admitted_by = RateDecision::kUnlimited;
  std::string m_service;
  bool m_sharded = false;
  uint32_t m_priority = 0;
  uint32_t m_attempts = 0;

  /// Whether a server may have run the request.
  bool m_maybe_ran = false;
  std::set<std::string> m_tried_servers;

  /// Number of searches that found no server to send the request to.
  uint32_t m_failed_searches = 0;

  /// Number of cold servers whose rate did not admit the request.
  uint32_t m_cold_refusals = 0;

  /// The client's first attempt was this long ago, and its target latency
  /// ends then.
  Duration m_first_attempt_ago{};
  TimePoint m_target_at;

  /// The permit that the request holds; 0 if it holds none.
  PermitTicket m_permit = 0;
  uint32_t m_unused_permits = 0;

  /// Set if a scheduler has refused the request: when to come back.
  std::optional<Duration> m_scheduler_retry_after;

  /// Order of a rollout by which the request was assigned to a group of
  /// servers, and the group.
  uint64_t m_rollout_order = 0;
  std::optional<VersionGroup> m_version_group;

  /// Counts the last attempt as on its way until the response is complete.
  std::shared_ptr<void> m_in_flight;

  /// Backend server of the last attempt, for logs.
  std::string m_last_server;

  /// Set if the request is refused because its servers have asked for a pause:
  /// when the first of them takes requests again.
  std::optional<TimePoint> m_servers_paused_until;

  bool ClientDisconnected() const {
    return m_cancellation && m_cancellation->IsCancelled();
  }

  // Throws `Error(kClientLeft)` if the client has disconnected.
  void RequireClient() const {
    if (ClientDisconnected()) {
      throw Error(ErrorCode::kClientLeft);
    }
  }
  std::string WorkspaceName() const {
    return m_workspace ? m_workspace->m_name : "";
  }
};

/// Outcome of one attempt.
enum class RequestHandler::AttemptOutcome {
  /// The server responded with a status below 500.
  kResponded,
  /// The server responded with a status of 500 or above.
  kServerError,
  /// No byte was sent.
  kNotSent,
  /// The server reported that it did not run the request.
  kRefused,
  /// The server reported that another server must run the request.
  kMisdirected,
  /// It is unknown whether the request ran.
  kOutcomeUnknown,
};

/// Returns the permit of an attempt that ended without a send.
class RequestHandler::PermitScope {
 public:
  PermitScope(RequestHandler& handler, RequestContext& context)
      : m_handler(handler), m_context(context) {}
  ~PermitScope() { m_handler.ReturnPermit(m_context, {}); }

  PermitScope(const PermitScope&) = delete;
  PermitScope& operator=(const PermitScope&) = delete;

 private:
  RequestHandler& m_handler;
  RequestContext& m_context;
};

// What an attempt tells of the version of the server.
AttemptResult RequestHandler::ResultOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kResponded:
      return AttemptResult::kGood;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kOutcomeUnknown:
      return AttemptResult::kFailed;
    default:
      return AttemptResult::kNoEvidence;
  }
}

RequestHandler::RequestHandler(const GatewaySettings& settings,
                               const FrontEnd& front_end,
                               const AccessFreshness& freshness,
                               PermitSource& permits,
                               RequestLog& log,
                               Metrics& metrics)
    : m_settings(settings),
      m_front_end(front_end),
      m_freshness(freshness),
      m_request_log(log),
      m_metrics(metrics),
      m_client(kClientSettings),
      m_permits(permits),
      m_rate_limiter(settings.m_ownership) {}

void RequestHandler::OnSnapshot(
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  m_permits.OnSnapshot(m_snapshot);
  RecordServices();
  m_rollout_splitter.Expire(*m_snapshot);
  m_rollout_meter.OnSnapshot(*m_snapshot);
  m_snapshot_changed.Notify();
  for (auto& [ticket, event] : m_queued_events) {
    event->Notify();
  }
}

// Remembers which of the configured services have had servers.
void RequestHandler::RecordServices() {
  for (const auto& [service, endpoints] : m_snapshot->m_endpoints) {
    if (!endpoints.m_servers.empty()) {
      m_services_with_servers.insert(service);
    }
  }
  if (HasConfiguration()) {
    std::erase_if(m_services_with_servers, [this](const std::string& service) {
      return !m_snapshot->m_routes->FindService(service);
    });
  }
}

uint64_t RequestHandler::ConfigurationVersion() const {
  return HasConfiguration() ? m_snapshot->m_routes->GetConfig().m_version : 0;
}

HttpResponse RequestHandler::Handle(HttpRequest& request) {
  RequestContext context;
  context.m_started_at = request.m_arrived_at;
  context.m_cancellation = request.m_cancellation;
  m_request_log.CountRequest();
  try {
    HttpResponse response = Process(request, context);
    m_request_log.CountServed();
    m_metrics.Observe("foxtail_request_seconds", "service", context.m_service,
                      Clock::now() - context.m_started_at);
    return response;
  } catch (const Error& error) {
    LogFailure(context, error);
    Duration retry_after{};
    for (const RetryAfterRow& row : kRetryAfter) {
      if (row.m_code == error.GetCode()) {
        retry_after = row.m_delay;
      }
    }
    // The retry delay is at most a third of the time that the client has left,
    // unless it is known that no server takes the request before.
    const TimePoint now = Clock::now();
    retry_after = context.m_scheduler_retry_after.value_or(retry_after);
    retry_after = std::min(retry_after, (context.m_deadline - now) / 3);
    if (context.m_servers_paused_until && !context.m_maybe_ran) {
      retry_after =
          std::max(retry_after, *context.m_servers_paused_until - now);
    }
    return m_front_end.BuildErrorResponse(error, retry_after);
  }
}

void RequestHandler::LogFailure(const RequestContext& context,
                                const Error& error) {
  LogFailure(BuildLogEntry(context), error);
}

void RequestHandler::LogFailure(const RequestLogEntry& entry,
                                const Error& error) {
  m_metrics.Count("foxtail_errors_total", "error",
                  std::string(InfoOf(error.GetCode()).m_name));
  m_request_log.LogFailure(entry, error);
}

RequestLogEntry RequestHandler::BuildLogEntry(
    const RequestContext& context) const {
  return {context.m_request.m_request_id,
          context.WorkspaceName(),
          context.m_service,
          context.m_last_server,
          context.m_attempts,
          std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                   context.m_started_at),
          ConfigurationVersion()};
}

// The handler has returned when the rest of a large body breaks off.
void RequestHandler::TrackBody(const RequestContext& context,
                               HttpResponse& response) {
  if (response.m_body_stream) {
    response.m_body_stream = std::make_shared<TrackedBodyStream>(
        std::move(response.m_body_stream),
        [this, entry = BuildLogEntry(context),
         in_flight = context.m_in_flight](const Error& failure) {
          LogFailure(entry, Error(ErrorCode::kServerLost, Execution::kUnknown,
                                  failure.GetDetail()));
        });
  }
}

HttpResponse RequestHandler::Process(HttpRequest& request,
                                     RequestContext& context) {
  context.m_request = m_front_end.Decode(request);
  context.m_deadline = context.m_started_at +
                       context.m_request.m_deadline.value_or(kDefaultDeadline);
  context.RequireClient();
  Resolve(context);
  Authorize(context);
  Admit(context);
  CountSliceLoad(context);
  GetRetryBudget(context.m_service).OnRequest();
  try {
    return SendWithRetries(request, context);
  } catch (const Error&) {
    if (context.m_workspace && !context.m_maybe_ran) {
      m_rate_limiter.GetAdmission().ReturnToken(context.m_workspace->m_name,
                                                context.m_admitted_by);
    }
    throw;
  }
}

void RequestHandler::Resolve(RequestContext& context) {
  if (!HasConfiguration()) {
    throw Error(ErrorCode::kConfigurationUnknown);
  }
  context.m_snapshot = m_snapshot;
  context.m_routes = context.m_snapshot->m_routes;
  context.m_route = &context.m_routes->Match(context.m_request.m_host,
                                             context.m_request.m_path);
  if (!context.m_route->m_unusable_reason.empty()) {
    throw Error(ErrorCode::kRouteUnusable, context.m_route->m_unusable_reason);
  }
  if (context.m_request.m_deadline) {
    context.m_first_attempt_ago = m_patience.OnRequest(
        context.m_route->m_name, *context.m_request.m_deadline);
  }
  context.m_target_at = context.m_started_at +
                        context.m_route->m_target_latency -
                        context.m_first_attempt_ago;
  context.m_deadline =
      std::min({context.m_deadline, m_latest_deadline,
                context.m_started_at + context.m_route->m_timeout});
  context.m_priority = context.m_route->m_priority;
}

void RequestHandler::Authorize(RequestContext& context) {
  const RouteIndex& routes = *context.m_routes;
  if (context.m_route->m_public || routes.GetConfig().m_workspaces.empty()) {
    return;
  }
  if (!m_freshness.IsFresh()) {
    throw Error(ErrorCode::kAccessStale);
  }
  context.m_workspace = &routes.Authenticate(context.m_request.m_api_key);
  if (context.m_workspace->m_has_priority) {
    context.m_priority = context.m_workspace->m_priority;
  }
}

void RequestHandler::Admit(RequestContext& context) {
  if (context.m_workspace) {
    context.m_admitted_by = m_rate_limiter.Acquire(
        *context.m_workspace, context.m_snapshot->m_position,
        context.m_deadline);
  }
  context.m_service = m_splitter.Choose(*context.m_route);
  const RoutedService* service =
      context.m_routes->FindService(context.m_service);
  context.m_sharded = service && service->m_sharded &&
                      context.m_request.m_shard_key.has_value();
}

void RequestHandler::CountSliceLoad(const RequestContext& context) {
  if (context.m_sharded) {
    const uint32_t slice = *context.m_request.m_shard_key / kKeysPerSlice;
    ++m_slice_counts[context.m_service][static_cast<uint16_t>(slice)];
  }
}

HttpResponse RequestHandler::SendWithRetries(const HttpRequest& request,
                                             RequestContext& context) {
  while (true) {
    WaitForTarget(context);
    const PermitScope permit_scope(*this, context);
    const RoutedServer* server = AcquireServer(context);
    if (!server || !AcquireColdStart(context, *server)) {
      ++context.m_failed_searches;  // it has changed, or takes nothing now
      continue;
    }
    HttpResponse response;
    const AttemptOutcome outcome =
        SendOnce(request, context, *server, response);
    if (outcome == AttemptOutcome::kResponded) {
      TrackBody(context, response);
      return m_front_end.BuildClientResponse(std::move(response));
    }
    context.RequireClient();
    if (CanRetry(context, outcome)) {
      continue;
    }
    switch (outcome) {
      case AttemptOutcome::kServerError:
        return m_front_end.BuildClientResponse(std::move(response));
      case AttemptOutcome::kOutcomeUnknown:
        ThrowFailure(context, ErrorCode::kServerLost, ErrorCode::kServerLost);
        break;
      default:
        ThrowFailure(context, ErrorCode::kServerRefused,
                     ErrorCode::kServerLost);
    }
  }
}

// Waits until there is a server that the request can be sent to. Every search
// for a server begins here, so that no request goes on beyond its deadline or
// searches on and on while other fibers wait.
void RequestHandler::WaitForTarget(RequestContext& context) {
  if (context.m_failed_searches > kMaxImmediateSearches) {
    m_snapshot_changed.WaitUntil(
        std::min(context.m_deadline, Clock::now() + kSearchRetryDelay));
  }
  const TimePoint wait_until =
      std::min(context.m_deadline, Clock::now() + kOwnerTimeout);
  while (true) {
    context.RequireClient();
    if (Clock::now() >= context.m_deadline) {
      ThrowFailure(context, ErrorCode::kServerSaturated,
                   ErrorCode::kDeadlineExceeded);
    }
    context.m_snapshot = m_snapshot;
    if (HasTarget(context)) {
      return;
    }
    const auto pause_end = FindPauseEndOfTargets(context);
    if (pause_end) {
      RefuseDuringPause(context, *pause_end);
    }
    const bool may_come = pause_end || MayServerCome(context);
    if (!may_come || Clock::now() >= wait_until) {
      ThrowFailure(context, ErrorCode::kPartitionNotServed,
                   ErrorCode::kServerLost);
    }
    m_snapshot_changed.WaitUntil(
        std::min(wait_until, pause_end.value_or(wait_until)));
  }
}

// With permits, the schedulers choose the server, but this host sends to none
// that it does not choose from itself.
bool RequestHandler::HasTarget(RequestContext& context) {
  if (context.m_sharded || !UsesPermits(context)) {
    return FindTarget(context) != nullptr;
  }
  const ServiceEndpoints* endpoints =
      context.m_snapshot->FindEndpoints(context.m_service);
  return endpoints && HasUsableServer(*endpoints, m_send_system, Clock::now());
}

// Keys change hands within moments, and the first servers of a new service may
// register at any moment. Servers that have gone are not followed by others so
// soon, so a request that finds them gone is refused at once.
bool RequestHandler::MayServerCome(const RequestContext& context) const {
  return context.m_sharded || !context.m_snapshot->m_servers_known ||
         !m_services_with_servers.contains(context.m_service);
}

const RoutedServer* RequestHandler::FindTarget(RequestContext& context) {
  const ServiceEndpoints* endpoints =
      context.m_snapshot->FindEndpoints(context.m_service);
  if (!endpoints) {
    return nullptr;
  }
  if (context.m_sharded) {
    return FindOwner(context);
  }
  const auto choose = [&](const VersionChoice& versions) {
    return ChooseServer(*endpoints, m_settings.m_data_centre,
                        context.m_tried_servers, m_send_system, Clock::now(),
                        versions);
  };
  const VersionChoice versions = ChooseVersion(context, *endpoints);
  const RoutedServer* server = choose(versions);
  if (!server && !context.m_tried_servers.empty()) {
    context.m_tried_servers.clear();
    server = choose(versions);
  }
  if (!server && LeaveTargetVersion(context, *endpoints)) {
    server = choose({*endpoints, context.m_version_group});
  }
  return server;
}

// Assigns a request of the target version to the others, whose servers take it
// while no server of the target version does. Returns whether that is a change.
bool RequestHandler::LeaveTargetVersion(RequestContext& context,
                                        const ServiceEndpoints& endpoints) {
  if (!endpoints.m_rollout || endpoints.m_rollout->m_share >= 1 ||
      context.m_version_group != VersionGroup::kTarget) {
    return false;
  }
  context.m_version_group = VersionGroup::kOthers;
  return true;
}

// While a rollout is in force, each request is assigned to one group of
// servers. A retry goes to the others for as long as they may be used: what
// failed at the new version may succeed there, and retries don't add to its
// share.
VersionChoice RequestHandler::ChooseVersion(RequestContext& context,
                                            const ServiceEndpoints& endpoints) {
  if (!endpoints.m_rollout) {
    return {};
  }
  const RoutedRollout& rollout = *endpoints.m_rollout;
  const bool is_assigned =
      context.m_version_group && context.m_rollout_order == rollout.m_order;
  const bool is_split =
      rollout.m_share > 0 && rollout.m_share < 1 && !rollout.m_paused;
  if (is_split && context.m_attempts > 0) {
    context.m_version_group = VersionGroup::kOthers;
  } else if (!is_split || !is_assigned) {
    context.m_version_group = m_rollout_splitter.Choose(
        context.m_service, rollout, context.m_snapshot->m_position);
  }
  context.m_rollout_order = rollout.m_order;
  return {endpoints, context.m_version_group};
}

// Returns when the first of the servers that are asking for a pause takes the
// request, or nothing if none is.
std::optional<TimePoint> RequestHandler::FindPauseEndOfTargets(
    const RequestContext& context) {
  const ServiceEndpoints* endpoints =
      context.m_snapshot->FindEndpoints(context.m_service);
  if (!endpoints || context.m_sharded) {
    return std::nullopt;
  }
  return FindPauseEnd(*endpoints, m_send_system, Clock::now(),
                      {*endpoints, context.m_version_group});
}

// Refuses a request that no server takes before its deadline.
void RequestHandler::RefuseDuringPause(RequestContext& context,
                                       TimePoint pause_end) {
  if (pause_end + kMinAttemptTime >= context.m_deadline) {
    context.m_servers_paused_until = pause_end;
    ThrowFailure(context, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
}

std::string RequestHandler::FindOwnerId(const RoutingSnapshot& snapshot,
                                        const RequestContext& context) {
  const ServiceEndpoints* endpoints = snapshot.FindEndpoints(context.m_service);
  const RoutedRange* range =
      endpoints ? endpoints->FindRange(*context.m_request.m_shard_key)
                : nullptr;
  return range ? range->m_server : "";
}

const RoutedServer* RequestHandler::FindOwner(RequestContext& context) {
  const ServiceEndpoints* endpoints =
      context.m_snapshot->FindEndpoints(context.m_service);
  const RoutedRange* range =
      endpoints->FindRange(*context.m_request.m_shard_key);
  if (!range || !range->m_grant_confirmed) {
    return nullptr;
  }
  const auto server = endpoints->m_servers.find(range->m_server);
  const TimePoint now = Clock::now();
  if (server == endpoints->m_servers.end() ||
      now >= server->second.m_send_until ||
      !VersionChoice(*endpoints, std::nullopt).Allows(server->second)) {
    return nullptr;
  }
  // The server is asked on while its keys move, then no more.
  const auto leaving_since = m_send_system.LeavingSince(
      m_send_system.GetOrInsert(server->second, now), server->second);
  if (leaving_since && now >= *leaving_since + kDrainGracePeriod) {
    return nullptr;
  }
  return &server->second;
}

// The schedulers do not know how a rollout divides the requests that any server
// can run.
bool RequestHandler::UsesPermits(const RequestContext& context) const {
  const ServiceEndpoints* endpoints =
      context.m_snapshot->FindEndpoints(context.m_service);
  return m_permits.IsOn() &&
         (context.m_sharded || !endpoints || !endpoints->m_rollout);
}

// Returns a server that the request may be sent to now, or null if the target
// must be looked up again.
const RoutedServer* RequestHandler::AcquireServer(RequestContext& context) {
  return UsesPermits(context) ? AcquirePermit(context)
                              : AcquireOwnTurn(context);
}

const RoutedServer* RequestHandler::AcquireOwnTurn(RequestContext& context) {
  const RoutedServer* server = FindTarget(context);
  return server && WaitForTurn(context, *server) ? server : nullptr;
}

// Asks the server's scheduler. If none answers, the host decides by what it has
// seen of the servers itself.
const RoutedServer* RequestHandler::AcquirePermit(RequestContext& context) {
  const auto asked_with = context.m_snapshot;
  PermitQuery query;
  query.m_service = context.m_service;
  query.m_owner = context.m_sharded ? FindOwner(context) : nullptr;
  if (context.m_sharded && !query.m_owner) {
    return nullptr;
  }
  query.m_priority = context.m_priority;
  query.m_deadline = context.m_deadline;
  query.m_target_at = context.m_target_at;
  query.m_returning = context.m_first_attempt_ago > Duration(0);
  query.m_tried_servers = context.m_tried_servers;
  query.m_cancellation = context.m_cancellation;
  // A key that has moved needs a permit of its new owner. Other requests keep
  // their place in the queue.
  query.m_still_wanted = [&] {
    return !context.m_sharded || m_snapshot == asked_with ||
           FindOwnerId(*m_snapshot, context) == query.m_owner->m_id;
  };
  const PermitAnswer answer = m_permits.Acquire(query);
  context.m_snapshot = m_snapshot;
  if (answer.m_state == PermitState::kGranted) {
    context.m_permit = answer.m_ticket;
    PermitReturn unused;
    const RoutedServer* server = FindGrantedServer(context, answer, unused);
    if (!server) {
      ReturnPermit(context, unused);
    }
    return server;
  }
  context.RequireClient();
  if (answer.m_state == PermitState::kRefused) {
    context.m_scheduler_retry_after = answer.m_retry_after;
    ThrowFailure(context, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
  if (answer.m_state == PermitState::kQueued) {
    if (Clock::now() >= context.m_deadline) {
      ThrowFailure(context, ErrorCode::kServerSaturated,
                   ErrorCode::kDeadlineExceeded);
    }
    return nullptr;
  }
  return AcquireOwnTurn(context);
}

// Checks a granted server against what this host knows: a server that has told
// this host that it is leaving or wants a pause gets nothing from it.
const RoutedServer* RequestHandler::FindGrantedServer(
    RequestContext& context,
    const PermitAnswer& answer,
    PermitReturn& unused) {
  const TimePoint now = Clock::now();
  const ServiceEndpoints* endpoints =
      context.m_snapshot->FindEndpoints(context.m_service);
  const RoutedServer* server = nullptr;
  if (endpoints && context.m_sharded) {
    server = FindOwner(context);
  } else if (endpoints) {
    const auto found = endpoints->m_servers.find(answer.m_server);
    if (found != endpoints->m_servers.end() && found->second.m_eligible) {
      server = &found->second;
    }
  }
  if (server && server->m_id == answer.m_server) {
    const SendServerId id = m_send_system.GetOrInsert(*server, now);
    unused.m_leaving =
        !context.m_sharded && m_send_system.LeavingSince(id, *server);
    unused.m_pause = std::chrono::duration_cast<milliseconds>(
        std::max(Duration(0), m_send_system.PauseEnd(id) - now));
    if (!unused.m_leaving && unused.m_pause == milliseconds(0)) {
      return server;
    }
  }
  context.m_tried_servers.insert(answer.m_server);
  if (++context.m_unused_permits > kMaxUnusedPermits) {
    ReturnPermit(context, unused);
    ThrowFailure(context, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
  return nullptr;
}

void RequestHandler::ReturnPermit(RequestContext& context,
                                  const PermitReturn& outcome) {
  if (context.m_permit != 0) {
    m_permits.Return(std::exchange(context.m_permit, 0), outcome);
  }
}

// Queues the request for a server and waits until the request may be sent.
// Returns false if the snapshot changed and the target must be looked up again.
// A request that cannot be served in time is refused at once. A queued request
// that falls behind requests of higher priority is refused as soon as too
// little time is left to send it.
bool RequestHandler::WaitForTurn(RequestContext& context,
                                 const RoutedServer& server) {
  const SendServerId id = m_send_system.GetOrInsert(server, Clock::now());
  if (m_send_system.PauseEnd(id) > Clock::now()) {
    RefuseDuringPause(context, m_send_system.PauseEnd(id));
  }
  const Duration estimated = std::max<Duration>(
      m_send_system.EstimateTotalTime(id, context.m_priority, Clock::now()),
      kMinAttemptTime);
  if (!m_send_system.HasQueueSpace(id) ||
      Clock::now() + estimated >= context.m_deadline) {
    ThrowFailure(context, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
  const QueueKey key{context.m_priority, ++m_last_ticket};
  FiberEvent event;
  m_send_system.Enqueue(id, key);
  m_queued_events[key.m_ticket] = &event;
  const CancellationScope scope(context.m_cancellation,
                                [&event] { event.Notify(); });
  const TimePoint latest_send_at =
      context.m_deadline -
      std::max<Duration>(m_send_system.EstimateServiceTime(id),
                         kMinAttemptTime);
  bool can_send = false;
  while (!can_send && !context.ClientDisconnected() &&
         context.m_snapshot == m_snapshot && Clock::now() < latest_send_at) {
    TimePoint retry_at;
    can_send = m_send_system.CanSend(id, key, Clock::now(), retry_at);
    if (!can_send) {
      event.WaitUntil(std::min(retry_at, latest_send_at));
    }
  }
  m_send_system.Dequeue(id, key);
  m_queued_events.erase(key.m_ticket);
  if (!can_send) {
    WakeQueueHead(id);
  }
  context.RequireClient();
  if (!can_send && Clock::now() >= latest_send_at) {
    ThrowFailure(context, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
  return can_send;
}

// All hosts together keep a cold server's rate. A request that it does not
// admit is sent to another server or, if only this one can run it, refused.
// Returns whether the request may be sent now.
bool RequestHandler::AcquireColdStart(RequestContext& context,
                                      const RoutedServer& server) {
  const RoutedService* service =
      context.m_routes->FindService(context.m_service);
  if (!service || service->m_cold_rate <= 0 ||
      Clock::now() >= server.m_cold_until) {
    return true;
  }
  const RoutedWorkspace limit =
      BuildColdStartLimit(server.m_id, service->m_cold_rate);
  const auto snapshot = context.m_snapshot;
  const RateDecision decision = m_rate_limiter.TryAcquire(
      limit, snapshot->m_position, context.m_deadline);
  if (decision == RateDecision::kRefused) {
    const ServiceEndpoints* endpoints =
        snapshot->FindEndpoints(context.m_service);
    if (!context.m_sharded && endpoints &&
        LeaveTargetVersion(context, *endpoints)) {
      return false;  // the servers of a new version are all cold at first
    }
    if (context.m_sharded || ++context.m_cold_refusals > kMaxColdRefusals) {
      ThrowFailure(context, ErrorCode::kServerSaturated,
                   ErrorCode::kDeadlineExceeded);
    }
    context.m_tried_servers.insert(server.m_id);
    return false;
  }
  if (context.ClientDisconnected() || snapshot != m_snapshot) {
    m_rate_limiter.GetAdmission().ReturnToken(limit.m_name, decision);
    context.RequireClient();
    return false;
  }
  return true;
}

// Only the request at the head of the queue can be sent, so only that request
// is woken.
void RequestHandler::WakeQueueHead(SendServerId id) {
  if (const auto first = m_send_system.GetQueueHead(id)) {
    m_queued_events.at(first->m_ticket)->Notify();
  }
}

RequestHandler::AttemptOutcome RequestHandler::SendOnce(
    const HttpRequest& request,
    RequestContext& context,
    const RoutedServer& server,
    HttpResponse& response) {
  const TimePoint started_at = Clock::now();
  const SendServerId id = m_send_system.GetOrInsert(server, started_at);
  m_send_system.OnSent(id);
  WakeQueueHead(id);
  context.m_in_flight =
      m_rollout_meter.OnSent(context.m_service, server, context.m_attempts > 0);
  ++context.m_attempts;
  context.m_last_server = server.m_id;
  context.m_tried_servers.insert(server.m_id);
  HttpRequest forwarded = m_front_end.BuildServerRequest(
      request,
      {server.m_id, context.WorkspaceName(), context.m_deadline - started_at});
  ExchangeOptions options;
  // Servers may send a response twice. A refusal without the id of its request
  // could not be told from a second copy of an earlier one, so no connection is
  // used again after such a refusal.
  options.m_matches_request = [&](const HttpResponse& received) {
    const ServerResponse of_request =
        m_front_end.Classify(context.m_request, received);
    return of_request.m_kind != ResponseKind::kInvalid &&
           of_request.m_is_identified;
  };
  options.m_force_new_connection = context.m_attempts > 1;
  options.m_max_buffered_body = kMaxBufferedBody;
  ExchangeResult result =
      m_client.Exchange(server.m_address, forwarded,
                        context.m_deadline + kResponseMargin, options);
  const ServerResponse server_response =
      result.m_ok ? m_front_end.Classify(context.m_request, result.m_response)
                  : ServerResponse();
  const AttemptOutcome outcome = ClassifyExchange(
      context, server, started_at, result, server_response, response);
  ReturnPermit(context,
               BuildPermitReturn(context, outcome, result, server_response,
                                 Clock::now() - started_at));
  m_rollout_meter.OnEnded(
      context.m_service, context.m_route->m_name, server,
      context.ClientDisconnected() ? AttemptResult::kNoEvidence
                                   : ResultOf(outcome),
      started_at < server.m_cold_until, Clock::now() - started_at);
  WakeQueueHead(id);
  return outcome;
}

// A client that has left ends the exchange, so its outcome says nothing about
// the server.
PermitReturn RequestHandler::BuildPermitReturn(
    const RequestContext& context,
    AttemptOutcome outcome,
    const ExchangeResult& result,
    const ServerResponse& server_response,
    Duration latency) {
  constexpr std::array kEnds = {
      PermitEnd::kResponded, PermitEnd::kServerError, PermitEnd::kUnreachable,
      PermitEnd::kRefused,   PermitEnd::kMisdirected, PermitEnd::kUnanswered};
  PermitReturn permit_return;
  permit_return.m_end = kEnds.at(static_cast<size_t>(outcome));
  if (result.m_closed_at_once) {
    permit_return.m_end = PermitEnd::kRefused;
  } else if (!result.m_ok && context.ClientDisconnected()) {
    permit_return.m_end = PermitEnd::kNotUsed;
  }
  permit_return.m_latency =
      std::chrono::duration_cast<std::chrono::microseconds>(latency);
  if (result.m_ok) {
    permit_return.m_load = server_response.m_load;
    permit_return.m_pause =
        std::chrono::duration_cast<milliseconds>(server_response.m_pause);
    permit_return.m_leaving = server_response.m_leaving;
  }
  return permit_return;
}

RequestHandler::AttemptOutcome RequestHandler::ClassifyExchange(
    RequestContext& context,
    const RoutedServer& server,
    TimePoint started_at,
    ExchangeResult& result,
    const ServerResponse& server_response,
    HttpResponse& response) {
  const TimePoint now = Clock::now();
  const SendServerId id = m_send_system.GetOrInsert(server, now);
  const Duration latency = now - started_at;
  if (!result.m_ok) {
    m_send_system.OnCompleted(id, std::nullopt, false, latency, now);
    if (result.m_progress == ExchangeProgress::kNothingSent) {
      if (result.m_no_descriptor) {
        return AttemptOutcome::kNotSent;
      }
      if (result.m_closed_at_once) {
        m_send_system.OnRefused(id);
      } else if (!context.ClientDisconnected()) {
        m_send_system.OnUnreachable(id, now);
      }
      return AttemptOutcome::kNotSent;
    }
    context.m_maybe_ran = true;
    return AttemptOutcome::kOutcomeUnknown;
  }
  m_send_system.OnCompleted(id, server_response.m_load,
                            server_response.m_kind == ResponseKind::kComplete,
                            latency, now);
  if (server_response.m_pause > Duration(0)) {
    m_send_system.OnPauseRequested(id, now + server_response.m_pause);
  }
  if (server_response.m_leaving && m_send_system.OnLeaving(id, server, now)) {
    m_new_leaving.push_back({server.m_id, server.m_incarnation});
    m_on_server_leaving();
  }
  switch (server_response.m_kind) {
    case ResponseKind::kComplete:
      response = std::move(result.m_response);
      // A server error is retried if the request is idempotent.
      return response.m_status >= 500 ? AttemptOutcome::kServerError
                                      : AttemptOutcome::kResponded;
    case ResponseKind::kNotRun:
      m_send_system.OnRefused(id);
      return AttemptOutcome::kRefused;
    case ResponseKind::kMisdirected:
      return AttemptOutcome::kMisdirected;
    case ResponseKind::kInvalid:
      break;
  }
  context.m_maybe_ran = true;
  return AttemptOutcome::kOutcomeUnknown;
}

// Retries only requests that did not run or that are idempotent.
bool RequestHandler::CanRetry(RequestContext& context, AttemptOutcome outcome) {
  const bool ran = outcome == AttemptOutcome::kOutcomeUnknown ||
                   outcome == AttemptOutcome::kServerError;
  if ((ran && !context.m_route->m_idempotent) ||
      context.m_attempts >= context.m_route->m_max_attempts ||
      Clock::now() + kMinAttemptTime >= context.m_deadline) {
    return false;
  }
  if (outcome != AttemptOutcome::kNotSent &&
      !GetRetryBudget(context.m_service).TryRetry()) {
    return false;
  }
  m_request_log.LogRetry(
      BuildLogEntry(context),
      outcome == AttemptOutcome::kOutcomeUnknown ? "lost" : "not_run");
  if (context.m_sharded && outcome != AttemptOutcome::kOutcomeUnknown) {
    // Only the owner can run the request: wait briefly for the owner to recover
    // or for a snapshot with a new owner.
    m_snapshot_changed.WaitUntil(
        std::min(context.m_deadline, Clock::now() + kRefusalRetryDelay));
  }
  return true;
}

void RequestHandler::ThrowFailure(const RequestContext& context,
                                  ErrorCode not_run,
                                  ErrorCode unknown) {
  if (!context.m_maybe_ran) {
    throw Error(not_run, Execution::kNotRun, context.m_service);
  }
  const bool deadline_passed = Clock::now() >= context.m_deadline;
  throw Error(deadline_passed ? ErrorCode::kDeadlineExceeded : unknown,
              Execution::kUnknown, context.m_service);
}

RetryBudget& RequestHandler::GetRetryBudget(const std::string& service) {
  const double ratio = m_settings.m_retry_percent / 100.0;
  return m_retry_budgets.try_emplace(service, ratio, kMaxSavedRetries)
      .first->second;
}

void RequestHandler::LogAdmissions() {
  const auto counts = m_rate_limiter.GetAdmission().TakeCounts();
  for (const auto& [workspace, outcomes] : counts) {
    for (size_t i = 0; i < outcomes.size(); ++i) {
      if (outcomes[i] > 0) {
        m_metrics.Count("foxtail_admissions_total", "outcome",
                        std::string(NameOf(static_cast<AdmissionOutcome>(i))),
                        outcomes[i]);
      }
    }
  }
  m_request_log.LogAdmissions(counts);
}

void RequestHandler::LogPermits() {
  const std::vector<PermitCounts> counts = m_permits.TakeCounts();
  for (const PermitCounts& of_class : counts) {
    const std::array<std::pair<const char*, uint64_t>, 5> outcomes = {
        {{"granted", of_class.m_granted},
         {"refused_at_arrival", of_class.m_refused_at_arrival},
         {"refused_later", of_class.m_refused_later},
         {"abandoned", of_class.m_abandoned},
         {"refused_by_server", of_class.m_refused_by_server}}};
    for (const auto& [outcome, count] : outcomes) {
      if (count > 0) {
        m_metrics.Count("foxtail_permits_total", "class",
                        of_class.m_service + "/" +
                            std::to_string(of_class.m_priority) + "/" + outcome,
                        count);
      }
    }
  }
  m_request_log.LogPermits(counts);
}

std::vector<LeavingServer> RequestHandler::TakeLeavingServers() {
  return std::exchange(m_new_leaving, {});
}

MemberReport RequestHandler::CollectReport(TimePoint now, bool with_loads) {
  MemberReport report;
  report.m_members =
      m_snapshot ? static_cast<uint32_t>(m_snapshot->m_position.m_members) : 0;
  report.m_demands = m_rate_limiter.GetAdmission().BuildDemands(now);
  if (!with_loads) {
    return report;
  }
  for (const auto& [service, slices] : m_slice_counts) {
    ServiceLoad& load = report.m_loads.emplace_back();
    load.m_service = service;
    for (const auto& [slice, requests] : slices) {
      load.m_slices.push_back({slice, requests});
    }
  }
  m_slice_counts.clear();
  report.m_speeds = m_send_system.CollectSpeeds();
  return report;
}

}  // namespace foxtail
