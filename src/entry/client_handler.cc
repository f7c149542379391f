#include "entry/client_handler.h"

#include <algorithm>
#include <charconv>

#include "core/error.h"
#include "entry/forwarding.h"
#include "runtime/error_response.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPartitionKeyHeader = "x-partition-key";
constexpr const char* kClientRequestIdHeader = "x-request-id";
constexpr const char* kClientDeadlineHeader = "x-deadline-ms";
constexpr const char* kOpenWorkspace = "open";
constexpr size_t kMaxPartitionKeySize = 512;  // bytes
constexpr milliseconds kMinDeadline{1};
constexpr milliseconds kMaxIdLead{250};

// Allows another entry's response to arrive shortly after the deadline.
constexpr milliseconds kResponseMargin{20};

constexpr milliseconds kInitialBackoff{2};
constexpr milliseconds kMaxBackoff{32};

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

// A route covers its path and all paths below it; the longest path wins.
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

struct ClientHandler::RequestContext {
  TimePoint m_started_at;
  std::string m_service;
  std::shared_ptr<const CellRoutes> m_routes;
  std::string m_partition_key;
  DispatchQuery m_query;
  std::string m_dispatcher_address;
  milliseconds m_backoff = kInitialBackoff;

  /// An earlier attempt may have been executed, so errors must not report "not
  /// run".
  bool m_may_have_run = false;

  /// Returns the error for the client. "Not run" becomes "unknown" if an
  /// earlier attempt may have been executed.
  Error ToClientError(const Error& error) const {
    const bool execution_unknown =
        m_may_have_run && error.GetExecution() == Execution::kNotRun;
    return execution_unknown
               ? Error(error.GetCode(), Execution::kUnknown, error.GetDetail())
               : error;
  }
};

ClientHandler::ClientHandler(const EntrySettings& settings,
                             std::string self_address,
                             DispatchSystem& system,
                             Dispatcher& dispatcher,
                             TokenClient& tokens,
                             const AccessState& access,
                             FiberEvent& state_changed,
                             EventLog& events,
                             Metrics& metrics)
    : m_settings(settings),
      m_self_address(std::move(self_address)),
      m_system(system),
      m_dispatcher(dispatcher),
      m_tokens(tokens),
      m_access(access),
      m_state_changed(state_changed),
      m_events(events),
      m_metrics(metrics),
      m_retry_budget(kRetryRatio, kRetryReserve),
      m_jitter_source(std::random_device{}()) {}

HttpResponse ClientHandler::Handle(HttpRequest& request) {
  RequestContext context;
  context.m_started_at = Clock::now();
  context.m_query.m_workspace = kOpenWorkspace;
  HttpResponse response;
  try {
    response = Process(request, context);
    m_metrics.Count("foxtail_requests_total", "workspace",
                    context.m_query.m_workspace);
  } catch (const Error& error) {
    RecordFailure(context, error);
    response = ToErrorResponse(error);
  }
  response.m_headers.Set(kClientRequestIdHeader, context.m_query.m_id.m_text);
  m_metrics.Observe("foxtail_request_seconds", "workspace",
                    context.m_query.m_workspace,
                    Clock::now() - context.m_started_at);
  return response;
}

void ClientHandler::RecordFailure(const RequestContext& context,
                                  const Error& error) {
  const std::string name(InfoOf(error.GetCode()).m_name);
  const bool not_run = error.GetExecution() == Execution::kNotRun;
  m_metrics.Count("foxtail_errors_total", "error", name);
  m_events.Write(
      not_run ? EventNumber::kRequestRefused : EventNumber::kRequestUnknown,
      {{"request", context.m_query.m_id.m_text},
       {"workspace", context.m_query.m_workspace},
       {"service", context.m_service},
       {"error", name}});
}

HttpResponse ClientHandler::Process(HttpRequest& request,
                                    RequestContext& context) {
  ResolveRoute(request, context);
  Authorize(request, context);
  ReadRequestHeaders(request, context);
  StripRequest(request, BearerSecret(request));
  context.m_query.m_fingerprint = FingerprintOf(request);
  if (!context.m_routes->m_service.m_open) {
    m_tokens.Acquire(context.m_query.m_workspace, context.m_query.m_deadline);
  }
  m_retry_budget.OnRequest();
  return Forward(request, context);
}

void ClientHandler::ResolveRoute(const HttpRequest& request,
                                 RequestContext& context) {
  auto [service, path] = SplitTarget(request.m_target);
  context.m_service = std::move(service);
  const TrafficTables& tables = m_system.GetTables();
  const TrafficCellRow* cell =
      tables.m_cells.Find(FindCell(tables, context.m_service));
  if (!cell || !cell->m_routes) {
    const bool configured =
        m_access.m_index &&
        std::ranges::find(m_access.m_index->GetView().m_services,
                          context.m_service) !=
            m_access.m_index->GetView().m_services.end();
    throw Error(configured || !m_access.m_index ? ErrorCode::kPartitionNotServed
                                                : ErrorCode::kRouteUnknown,
                context.m_service);
  }
  context.m_routes = cell->m_routes;
  const RouteConfig* route =
      FindRoute(context.m_routes->m_service, request.m_method, path);
  if (!route) {
    throw Error(ErrorCode::kRouteUnknown,
                request.m_method + " /" + context.m_service + path);
  }
  context.m_query.m_cell = context.m_service;
  context.m_query.m_idempotent = route->m_idempotent;
}

void ClientHandler::Authorize(const HttpRequest& request,
                              RequestContext& context) {
  if (context.m_routes->m_service.m_open) {
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
  AccessIndex::RequireAllowed(workspace, context.m_service);
  context.m_query.m_workspace = workspace.m_name;
  context.m_query.m_weight = workspace.m_weight;
}

void ClientHandler::ReadRequestHeaders(const HttpRequest& request,
                                       RequestContext& context) {
  const Now now = ReadClocks();
  const auto key = request.m_headers.Get(kPartitionKeyHeader);
  if (!key || key->empty() || key->size() > kMaxPartitionKeySize) {
    throw Error(ErrorCode::kPartitionKeyMissing);
  }
  context.m_partition_key = *key;
  const auto id = request.m_headers.Get(kClientRequestIdHeader);
  if (id && !context.m_query.m_idempotent) {
    context.m_query.m_id = ParseRequestId(*id, now.m_wall, kMaxIdLead);
  } else {
    context.m_query.m_id = MakeRequestId(now.m_wall);
    context.m_query.m_fresh = true;
  }
  milliseconds limit = context.m_routes->m_service.m_max_deadline;
  if (const auto requested = request.m_headers.Get(kClientDeadlineHeader)) {
    uint32_t value = 0;
    const auto result = std::from_chars(
        requested->data(), requested->data() + requested->size(), value);
    if (result.ec != std::errc() ||
        result.ptr != requested->data() + requested->size()) {
      throw Error(ErrorCode::kRequestMalformed, kClientDeadlineHeader);
    }
    limit = std::clamp(milliseconds(value), kMinDeadline, limit);
  }
  context.m_query.m_deadline = context.m_started_at + limit;
}

HttpResponse ClientHandler::Forward(const HttpRequest& request,
                                    RequestContext& context) {
  ErrorCode last_error = ErrorCode::kPartitionNotServed;
  while (true) {
    if (Clock::now() >= context.m_query.m_deadline) {
      throw context.ToClientError(
          Error(last_error, Execution::kNotRun, context.m_service));
    }
    if (!ChooseDispatcher(context)) {
      m_state_changed.WaitUntil(context.m_query.m_deadline);
      continue;
    }
    try {
      return Attempt(request, context);
    } catch (const Error& error) {
      if (!MayRetry(error, context)) {
        throw context.ToClientError(error);
      }
      context.m_may_have_run =
          context.m_may_have_run || error.GetExecution() != Execution::kNotRun;
      context.m_query.m_fresh =
          context.m_query.m_fresh && !context.m_may_have_run;
      last_error = error.GetCode();
    }
    BackOff(context);
  }
}

// Returns whether the partition has a dispatcher that may receive requests now.
bool ClientHandler::ChooseDispatcher(RequestContext& context) const {
  const TrafficTables& tables = m_system.GetTables();
  const TrafficCellRow* cell =
      tables.m_cells.Find(FindCell(tables, context.m_service));
  const CellRoutes& routes = *cell->m_routes;
  context.m_query.m_partition =
      PartitionOfKey(routes.m_service, context.m_partition_key);
  const RoutePartition* partition =
      FindPartition(routes, context.m_query.m_partition);
  if (!partition || partition->m_paused) {
    return false;
  }
  context.m_dispatcher_address =
      routes.m_servers[partition->m_server].m_dispatcher;
  return !context.m_dispatcher_address.empty();
}

HttpResponse ClientHandler::Attempt(const HttpRequest& request,
                                    const RequestContext& context) {
  if (context.m_dispatcher_address == m_self_address) {
    return m_dispatcher.Dispatch(context.m_query, request);
  }
  return SendToDispatcher(request, context);
}

HttpResponse ClientHandler::SendToDispatcher(const HttpRequest& request,
                                             const RequestContext& context) {
  const HttpRequest outgoing = BuildDispatchRequest(
      request, context.m_query, m_settings.m_cluster_secret, Clock::now());
  ExchangeResult result =
      m_client.Exchange(ParseAddress(context.m_dispatcher_address), outgoing,
                        context.m_query.m_deadline + kResponseMargin);
  if (result.m_ok) {
    if (result.m_response.m_headers.Get(kErrorHeader)) {
      throw ParseErrorResponse(result.m_response, ErrorCode::kDispatcherLost);
    }
    return BuildClientResponse(std::move(result.m_response));
  }
  const bool sent = result.m_progress != ExchangeProgress::kNothingSent;
  throw Error(result.m_timed_out ? ErrorCode::kDeadlineExceeded
                                 : ErrorCode::kDispatcherLost,
              sent ? Execution::kUnknown : Execution::kNotRun,
              context.m_service);
}

// A request is retried only if it is known not to have been executed or if it
// is idempotent. Retries that wait for new routes are free, because they add no
// load to the servers; all other retries consume the retry budget.
bool ClientHandler::MayRetry(const Error& error,
                             const RequestContext& context) {
  const bool not_run = error.GetExecution() == Execution::kNotRun;
  switch (error.GetCode()) {
    case ErrorCode::kNotDispatcher:
    case ErrorCode::kStopping:
      return not_run;
    case ErrorCode::kNetwork:
    case ErrorCode::kDispatcherLost:
      return not_run ||
             (context.m_query.m_idempotent && m_retry_budget.TryRetry());
    case ErrorCode::kServerRefused:
      return not_run && m_retry_budget.TryRetry();
    case ErrorCode::kServerLost:
      return context.m_query.m_idempotent && m_retry_budget.TryRetry();
    default:
      return false;
  }
}

// Waits for new routes, but no longer than an exponential backoff with jitter.
void ClientHandler::BackOff(RequestContext& context) {
  std::uniform_int_distribution<int64_t> jitter(context.m_backoff.count() / 2,
                                                context.m_backoff.count());
  const TimePoint until = Clock::now() + milliseconds(jitter(m_jitter_source));
  m_state_changed.WaitUntil(std::min(until, context.m_query.m_deadline));
  context.m_backoff = std::min(context.m_backoff * 2, kMaxBackoff);
}

}  // namespace foxtail
