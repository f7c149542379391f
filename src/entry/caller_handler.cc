#include "entry/caller_handler.h"

#include <algorithm>
#include <charconv>

#include "core/error.h"
#include "entry/forwarding.h"
#include "runtime/error_response.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPartitionKeyHeader = "x-partition-key";
constexpr const char* kCallerIdHeader = "x-request-id";
constexpr const char* kCallerDeadlineHeader = "x-deadline-ms";
constexpr const char* kOpenWorkspace = "open";
constexpr size_t kPartitionKeyLimit = 512;  // bytes
constexpr milliseconds kMinDeadline{1};
constexpr milliseconds kIdAhead{250};

// Another entry answers a little after the deadline at the latest.
constexpr milliseconds kAnswerMargin{20};

constexpr milliseconds kFirstPause{2};
constexpr milliseconds kLongestPause{32};

constexpr double kRetryRatio = 0.1;
constexpr double kRetryReserve = 100;  // requests

// Splits "/service/path?query" into the service and the path.
std::pair<std::string, std::string> SplitTarget(const std::string& target) {
  if (target.empty() || target.front() != '/') {
    throw Error(ErrorCode::kRequestMalformed, "target");
  }
  const size_t end = std::min(target.find('?'), target.size());
  const size_t slash = std::min(target.find('/', 1), end);
  return {target.substr(1, slash - 1), target.substr(slash, end - slash)};
}

// A route covers its path and everything below it.
const RouteConfig* FindRoute(const ServiceConfig& service,
                             const std::string& method,
                             const std::string& path) {
  const RouteConfig* best = nullptr;
  for (const RouteConfig& route : service.m_routes) {
    const bool covers = path == route.m_path ||
                        path.starts_with(route.m_path + "/") ||
                        route.m_path == "/";
    if (route.m_method == method && covers &&
        (!best || route.m_path.size() > best->m_path.size())) {
      best = &route;
    }
  }
  return best;
}

}  // namespace

struct CallerHandler::Call {
  TimePoint m_started;
  std::string m_service;
  std::shared_ptr<const CellRoutes> m_routes;
  std::string m_key;
  DispatchQuery m_query;
  std::string m_dispatcher;
  milliseconds m_pause = kFirstPause;

  /// An earlier attempt may have run, so "not run" is true no more.
  bool m_maybe_ran = false;

  Error Told(const Error& error) const {
    const bool hidden =
        m_maybe_ran && error.GetExecution() == Execution::kNotRun;
    return hidden
               ? Error(error.GetCode(), Execution::kUnknown, error.GetDetail())
               : error;
  }
};

CallerHandler::CallerHandler(const EntrySettings& settings,
                             std::string self,
                             DispatchSystem& system,
                             Dispatcher& dispatcher,
                             TokenClient& tokens,
                             const AccessState& access,
                             FiberEvent& changed,
                             EventLog& events,
                             Metrics& metrics)
    : m_settings(settings),
      m_self(std::move(self)),
      m_system(system),
      m_dispatcher(dispatcher),
      m_tokens(tokens),
      m_access(access),
      m_changed(changed),
      m_events(events),
      m_metrics(metrics),
      m_retries(kRetryRatio, kRetryReserve),
      m_random(std::random_device{}()) {}

HttpResponse CallerHandler::Handle(HttpRequest& request) {
  Call call;
  call.m_started = Clock::now();
  call.m_query.m_workspace = kOpenWorkspace;
  HttpResponse response;
  try {
    response = Run(request, call);
    m_metrics.Count("foxtail_requests_total", "workspace",
                    call.m_query.m_workspace);
  } catch (const Error& error) {
    Note(call, error);
    response = ToErrorResponse(error);
  }
  response.m_headers.Set(kCallerIdHeader, call.m_query.m_id.m_text);
  m_metrics.Observe("foxtail_request_seconds", "workspace",
                    call.m_query.m_workspace, Clock::now() - call.m_started);
  return response;
}

void CallerHandler::Note(const Call& call, const Error& error) {
  const std::string name(InfoOf(error.GetCode()).m_name);
  const bool not_run = error.GetExecution() == Execution::kNotRun;
  m_metrics.Count("foxtail_errors_total", "error", name);
  m_events.Write(
      not_run ? EventNumber::kRequestRefused : EventNumber::kRequestUnknown,
      {{"request", call.m_query.m_id.m_text},
       {"workspace", call.m_query.m_workspace},
       {"service", call.m_service},
       {"error", name}});
}

HttpResponse CallerHandler::Run(HttpRequest& request, Call& call) {
  Resolve(request, call);
  Authorize(request, call);
  ReadIdentity(request, call);
  StripRequest(request, BearerSecret(request));
  call.m_query.m_fingerprint = FingerprintOf(request);
  if (!call.m_routes->m_service.m_open) {
    m_tokens.Acquire(call.m_query.m_workspace, call.m_query.m_deadline);
  }
  m_retries.OnRequest();
  return Forward(request, call);
}

void CallerHandler::Resolve(const HttpRequest& request, Call& call) {
  auto [service, path] = SplitTarget(request.m_target);
  call.m_service = std::move(service);
  const TrafficTables& tables = m_system.GetTables();
  const TrafficCellRow* cell =
      tables.m_cells.Find(FindCell(tables, call.m_service));
  if (!cell || !cell->m_routes) {
    const bool listed =
        m_access.m_index &&
        std::ranges::find(m_access.m_index->GetView().m_services,
                          call.m_service) !=
            m_access.m_index->GetView().m_services.end();
    throw Error(listed || !m_access.m_index ? ErrorCode::kPartitionNotServed
                                            : ErrorCode::kRouteUnknown,
                call.m_service);
  }
  call.m_routes = cell->m_routes;
  const RouteConfig* route =
      FindRoute(call.m_routes->m_service, request.m_method, path);
  if (!route) {
    throw Error(ErrorCode::kRouteUnknown,
                request.m_method + " /" + call.m_service + path);
  }
  call.m_query.m_cell = call.m_service;
  call.m_query.m_repeatable = route->m_repeatable;
}

void CallerHandler::Authorize(const HttpRequest& request, Call& call) {
  if (call.m_routes->m_service.m_open) {
    return;
  }
  const std::string secret = BearerSecret(request);
  if (secret.empty()) {
    throw Error(ErrorCode::kApiKeyMissing);
  }
  if (!m_access.m_index || Clock::now() >= m_access.m_fresh_until) {
    throw Error(ErrorCode::kAccessStale);
  }
  const WorkspaceConfig& workspace = m_access.m_index->Authenticate(secret);
  AccessIndex::RequireAllowed(workspace, call.m_service);
  call.m_query.m_workspace = workspace.m_name;
  call.m_query.m_weight = workspace.m_weight;
}

void CallerHandler::ReadIdentity(const HttpRequest& request, Call& call) {
  const Now now = ReadClocks();
  const auto key = request.m_headers.Get(kPartitionKeyHeader);
  if (!key || key->empty() || key->size() > kPartitionKeyLimit) {
    throw Error(ErrorCode::kPartitionKeyMissing);
  }
  call.m_key = *key;
  const auto id = request.m_headers.Get(kCallerIdHeader);
  if (id && !call.m_query.m_repeatable) {
    call.m_query.m_id = ParseRequestId(*id, now.m_wall, kIdAhead);
  } else {
    call.m_query.m_id = MakeRequestId(now.m_wall);
    call.m_query.m_fresh = true;
  }
  milliseconds limit = call.m_routes->m_service.m_max_deadline;
  if (const auto asked = request.m_headers.Get(kCallerDeadlineHeader)) {
    uint32_t value = 0;
    const auto result =
        std::from_chars(asked->data(), asked->data() + asked->size(), value);
    if (result.ec != std::errc() ||
        result.ptr != asked->data() + asked->size()) {
      throw Error(ErrorCode::kRequestMalformed, kCallerDeadlineHeader);
    }
    limit = std::clamp(milliseconds(value), kMinDeadline, limit);
  }
  call.m_query.m_deadline = call.m_started + limit;
}

HttpResponse CallerHandler::Forward(const HttpRequest& request, Call& call) {
  ErrorCode last = ErrorCode::kPartitionNotServed;
  while (true) {
    if (Clock::now() >= call.m_query.m_deadline) {
      throw call.Told(Error(last, Execution::kNotRun, call.m_service));
    }
    if (!ChooseDispatcher(call)) {
      m_changed.WaitUntil(call.m_query.m_deadline);
      continue;
    }
    try {
      return Attempt(request, call);
    } catch (const Error& error) {
      if (!MayRetry(error, call)) {
        throw call.Told(error);
      }
      call.m_maybe_ran =
          call.m_maybe_ran || error.GetExecution() != Execution::kNotRun;
      call.m_query.m_fresh = call.m_query.m_fresh && !call.m_maybe_ran;
      last = error.GetCode();
    }
    Pause(call);
  }
}

// Returns whether the partition has an owner that may receive requests now.
bool CallerHandler::ChooseDispatcher(Call& call) const {
  const TrafficTables& tables = m_system.GetTables();
  const TrafficCellRow* cell =
      tables.m_cells.Find(FindCell(tables, call.m_service));
  const CellRoutes& routes = *cell->m_routes;
  call.m_query.m_partition = PartitionOfKey(routes.m_service, call.m_key);
  const RoutePartition* partition =
      FindPartition(routes, call.m_query.m_partition);
  if (!partition || partition->m_held) {
    return false;
  }
  call.m_dispatcher = routes.m_servers[partition->m_server].m_dispatcher;
  return !call.m_dispatcher.empty();
}

HttpResponse CallerHandler::Attempt(const HttpRequest& request,
                                    const Call& call) {
  if (call.m_dispatcher == m_self) {
    return m_dispatcher.Dispatch(call.m_query, request);
  }
  return SendToDispatcher(request, call);
}

HttpResponse CallerHandler::SendToDispatcher(const HttpRequest& request,
                                             const Call& call) {
  const HttpRequest outgoing = DispatchRequest(
      request, call.m_query, m_settings.m_cluster_secret, Clock::now());
  ExchangeResult result =
      m_client.Exchange(ParseAddress(call.m_dispatcher), outgoing,
                        call.m_query.m_deadline + kAnswerMargin);
  if (result.m_ok) {
    if (result.m_response.m_headers.Get(kErrorHeader)) {
      throw ParseErrorResponse(result.m_response, ErrorCode::kDispatcherLost);
    }
    return CallerResponse(std::move(result.m_response));
  }
  const bool sent = result.m_progress != ExchangeProgress::kNothingSent;
  throw Error(result.m_timed_out ? ErrorCode::kDeadlineExceeded
                                 : ErrorCode::kDispatcherLost,
              sent ? Execution::kUnknown : Execution::kNotRun, call.m_service);
}

// A request is sent again only if it is known not to have run, or if it may run
// more than once. What waits for a change of routes costs the servers nothing;
// everything else draws on the budget.
bool CallerHandler::MayRetry(const Error& error, const Call& call) {
  const bool not_run = error.GetExecution() == Execution::kNotRun;
  switch (error.GetCode()) {
    case ErrorCode::kNotDispatcher:
    case ErrorCode::kStopping:
      return not_run;
    case ErrorCode::kNetwork:
    case ErrorCode::kDispatcherLost:
      return not_run || (call.m_query.m_repeatable && m_retries.TryRetry());
    case ErrorCode::kServerRefused:
      return not_run && m_retries.TryRetry();
    case ErrorCode::kServerLost:
      return call.m_query.m_repeatable && m_retries.TryRetry();
    default:
      return false;
  }
}

// Waits for new routes, at most for a jittered and growing time.
void CallerHandler::Pause(Call& call) {
  std::uniform_int_distribution<int64_t> jitter(call.m_pause.count() / 2,
                                                call.m_pause.count());
  const TimePoint until = Clock::now() + milliseconds(jitter(m_random));
  m_changed.WaitUntil(std::min(until, call.m_query.m_deadline));
  call.m_pause = std::min(call.m_pause * 2, kLongestPause);
}

}  // namespace foxtail
