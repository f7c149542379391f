#include "gateway/request_handler.h"

#include <algorithm>
#include <array>

#include "core/error.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// A backend server's idle connections are closed after some seconds at its end;
// giving them up earlier keeps requests off connections that are about to go.
constexpr HttpClientSettings kClientSettings{
    .m_max_idle_connections = 16,
    .m_max_idle_time = std::chrono::seconds(6),
    .m_connect_timeout = milliseconds(300)};

// What an answer may take beyond the deadline that the server was told.
constexpr milliseconds kAnswerMargin{15};

// A request for a key without an owner waits at most this long: a planned move
// takes less, and an unplanned one seconds.
constexpr milliseconds kOwnerWait{700};

// When a client is told to come back, by what stood in its way.
constexpr milliseconds kOwnerRetryAfter{300};
constexpr milliseconds kRateRetryAfter{500};
constexpr milliseconds kSaturatedRetryAfter{150};
constexpr milliseconds kUnknownRetryAfter{500};

// A deadline for requests that name none.
constexpr std::chrono::seconds kDefaultDeadline{60};

// Requests with less time left than this are not sent: no server answers so
// soon.
constexpr milliseconds kShortestAttempt{8};

// Retries that a service's budget can save up on this host. Small, because all
// hosts save up and the bound holds for their sum.
constexpr double kRetryReserve = 3;

// Pause before a request is sent again to a server that refused it.
constexpr milliseconds kRefusalPause{40};

struct RetryAfterRow {
  ErrorCode m_code;
  milliseconds m_after;
};

constexpr std::array kRetryAfter = {
    RetryAfterRow{ErrorCode::kRateExceeded, kRateRetryAfter},
    RetryAfterRow{ErrorCode::kPartitionNotServed, kOwnerRetryAfter},
    RetryAfterRow{ErrorCode::kServerSaturated, kSaturatedRetryAfter},
    RetryAfterRow{ErrorCode::kServerRefused, kSaturatedRetryAfter},
    RetryAfterRow{ErrorCode::kServerQueueFull, kSaturatedRetryAfter},
    RetryAfterRow{ErrorCode::kConfigurationUnknown, kUnknownRetryAfter},
    RetryAfterRow{ErrorCode::kAccessStale, kUnknownRetryAfter},
};

}  // namespace

/// What is known and decided about one request.
struct RequestHandler::Call {
  ClientRequest m_request;
  std::shared_ptr<Cancellation> m_cancellation;
  TimePoint m_started;
  TimePoint m_deadline;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;

  /// Configuration that admitted the request; its rows are referred to below.
  std::shared_ptr<const RouteIndex> m_routes;
  const RouteRow* m_route = nullptr;
  const RoutedWorkspace* m_workspace = nullptr;
  std::string m_service;
  bool m_sharded = false;
  uint32_t m_rank = 0;
  uint32_t m_attempts = 0;

  /// An attempt may have run.
  bool m_maybe_ran = false;
  std::set<std::string> m_tried;

  /// Servers whose slots the request was sent to, for logs.
  std::string m_last_server;

  bool HasLeft() const {
    return m_cancellation && m_cancellation->IsCancelled();
  }
  std::string WorkspaceName() const {
    return m_workspace ? m_workspace->m_name : "";
  }
};

/// How an attempt ended.
enum class RequestHandler::Verdict {
  /// The response is the server's answer.
  kAnswered,
  /// The server ran the request and failed it.
  kFailed,
  /// No byte was sent, or the server says that it did not run the request.
  kNotSent,
  kRefused,
  kMisdirected,
  /// It is unknown whether the request ran.
  kLost,
};

RequestHandler::RequestHandler(const GatewaySettings& settings,
                               const ClientFront& front,
                               const AccessFreshness& freshness,
                               RequestLog& log,
                               Metrics& metrics)
    : m_settings(settings),
      m_front(front),
      m_freshness(freshness),
      m_log(log),
      m_metrics(metrics),
      m_client(kClientSettings),
      m_rates(settings.m_ownership) {}

void RequestHandler::OnSnapshot(
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  m_changed.Notify();
  for (auto& [ticket, event] : m_waiting) {
    event->Notify();
  }
}

uint64_t RequestHandler::ConfigurationVersion() const {
  return HasConfiguration() ? m_snapshot->m_routes->GetConfig().m_version : 0;
}

HttpResponse RequestHandler::Handle(HttpRequest& request) {
  Call call;
  call.m_started = Clock::now();
  call.m_cancellation = request.m_cancellation;
  m_log.CountRequest();
  try {
    HttpResponse response = Run(request, call);
    m_log.CountServed();
    m_metrics.Observe("foxtail_request_seconds", "service", call.m_service,
                      Clock::now() - call.m_started);
    return response;
  } catch (const Error& error) {
    Note(call, error);
    Duration after{};
    for (const RetryAfterRow& row : kRetryAfter) {
      if (row.m_code == error.GetCode()) {
        after = row.m_after;
      }
    }
    // Clients wait at most a third of the time that they have left.
    const Duration left = call.m_deadline - Clock::now();
    return m_front.Failure(error, std::min(after, left / 3));
  }
}

void RequestHandler::Note(const Call& call, const Error& error) {
  m_metrics.Count("foxtail_errors_total", "error",
                  std::string(InfoOf(error.GetCode()).m_name));
  const auto age =
      std::chrono::duration_cast<milliseconds>(Clock::now() - call.m_started);
  m_log.Failed(
      {call.m_request.m_request_id, call.WorkspaceName(), call.m_service,
       call.m_last_server, call.m_attempts, age, ConfigurationVersion()},
      error);
}

HttpResponse RequestHandler::Run(HttpRequest& request, Call& call) {
  call.m_request = m_front.Decode(request);
  call.m_deadline =
      call.m_started + call.m_request.m_deadline.value_or(kDefaultDeadline);
  Resolve(call);
  Authorize(call);
  Admit(call);
  CountLoad(call);
  BudgetOf(call.m_service).OnRequest();
  try {
    return Attempts(request, call);
  } catch (const Error&) {
    if (call.m_workspace && !call.m_maybe_ran) {
      m_rates.GiveBack(call.m_workspace->m_name);
    }
    throw;
  }
}

void RequestHandler::Resolve(Call& call) {
  if (!HasConfiguration()) {
    throw Error(ErrorCode::kConfigurationUnknown);
  }
  call.m_snapshot = m_snapshot;
  call.m_routes = call.m_snapshot->m_routes;
  call.m_route =
      &call.m_routes->Match(call.m_request.m_host, call.m_request.m_path);
  call.m_deadline =
      std::min(call.m_deadline, call.m_started + call.m_route->m_timeout);
  call.m_rank = call.m_route->m_priority;
}

void RequestHandler::Authorize(Call& call) {
  const RouteIndex& routes = *call.m_routes;
  if (call.m_route->m_public || routes.GetConfig().m_workspaces.empty()) {
    return;
  }
  if (!m_freshness.IsFresh()) {
    throw Error(ErrorCode::kAccessStale);
  }
  call.m_workspace = &routes.Authenticate(call.m_request.m_api_key);
  if (call.m_workspace->m_has_priority) {
    call.m_rank = call.m_workspace->m_priority;
  }
}

void RequestHandler::Admit(Call& call) {
  if (call.m_workspace) {
    m_rates.Acquire(*call.m_workspace, call.m_snapshot->m_members,
                    call.m_deadline);
  }
  call.m_service = m_parts.Choose(*call.m_route);
  const RoutedService* service = call.m_routes->FindService(call.m_service);
  call.m_sharded =
      service && service->m_sharded && call.m_request.m_shard_key.has_value();
}

void RequestHandler::CountLoad(const Call& call) {
  if (call.m_sharded) {
    const uint32_t slice = *call.m_request.m_shard_key / kKeysPerSlice;
    ++m_slice_counts[call.m_service][static_cast<uint16_t>(slice)];
  }
}

HttpResponse RequestHandler::Attempts(const HttpRequest& request, Call& call) {
  while (true) {
    AwaitTarget(call);
    const RoutedServer* server = FindTarget(call);
    if (!server || !AwaitTurn(call, *server)) {
      continue;  // the server has changed meanwhile
    }
    HttpResponse response;
    const Verdict verdict = Attempt(request, call, *server, response);
    if (verdict == Verdict::kAnswered) {
      return m_front.ForClient(std::move(response));
    }
    if (call.HasLeft()) {
      throw Error(ErrorCode::kClientLeft);
    }
    if (MayRetry(call, verdict)) {
      continue;
    }
    switch (verdict) {
      case Verdict::kFailed:
        return m_front.ForClient(std::move(response));
      case Verdict::kLost:
        ThrowFailure(call, ErrorCode::kServerLost, ErrorCode::kServerLost);
        break;
      default:
        ThrowFailure(call, ErrorCode::kServerRefused, ErrorCode::kServerLost);
    }
  }
}

// Waits until there is a server that the request may go to.
void RequestHandler::AwaitTarget(Call& call) {
  const TimePoint until = std::min(call.m_deadline, Clock::now() + kOwnerWait);
  while (true) {
    if (call.HasLeft()) {
      throw Error(ErrorCode::kClientLeft);
    }
    call.m_snapshot = m_snapshot;
    if (FindTarget(call)) {
      return;
    }
    if (Clock::now() >= until) {
      ThrowFailure(call, ErrorCode::kPartitionNotServed,
                   ErrorCode::kServerLost);
    }
    m_changed.WaitUntil(until);
  }
}

const RoutedServer* RequestHandler::FindTarget(Call& call) {
  const RoutedPlaces* places = call.m_snapshot->FindPlaces(call.m_service);
  if (!places) {
    return nullptr;
  }
  if (call.m_sharded) {
    return FindOwner(call);
  }
  const TimePoint now = Clock::now();
  const RoutedServer* server = ChooseServer(*places, m_settings.m_data_centre,
                                            call.m_tried, m_system, now);
  if (!server && !call.m_tried.empty()) {
    call.m_tried.clear();
    server = ChooseServer(*places, m_settings.m_data_centre, call.m_tried,
                          m_system, now);
  }
  return server;
}

const RoutedServer* RequestHandler::FindOwner(Call& call) {
  const RoutedPlaces* places = call.m_snapshot->FindPlaces(call.m_service);
  const RoutedRange* range = places->FindRange(*call.m_request.m_shard_key);
  if (!range || !range->m_settled) {
    return nullptr;
  }
  const auto server = places->m_servers.find(range->m_server);
  if (server == places->m_servers.end() ||
      Clock::now() >= server->second.m_send_until) {
    return nullptr;
  }
  return &server->second;
}

// Waits for the request's turn at a server. Returns false when the request
// should look for its server again. A request that cannot be served in time is
// refused at once; one that was overtaken, as soon as that is known.
bool RequestHandler::AwaitTurn(Call& call, const RoutedServer& server) {
  const SendServerId id = m_system.RowOf(server, Clock::now());
  const Duration estimated = std::max<Duration>(
      m_system.EstimatedTime(id, server, call.m_rank, Clock::now()),
      kShortestAttempt);
  if (!m_system.HasRoom(id) || Clock::now() + estimated >= call.m_deadline) {
    ThrowFailure(call, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
  const WaitingOrder order{call.m_rank, ++m_next_ticket};
  FiberEvent event;
  m_system.StartWaiting(id, order);
  m_waiting[order.m_ticket] = &event;
  const CancellationScope scope(call.m_cancellation,
                                [&event] { event.Notify(); });
  const TimePoint give_up_at =
      call.m_deadline -
      std::max<Duration>(m_system.EstimatedService(id), kShortestAttempt);
  bool turn = false;
  while (!turn && !call.HasLeft() && call.m_snapshot == m_snapshot &&
         Clock::now() < give_up_at) {
    TimePoint retry_at;
    turn = m_system.MaySend(id, server, order, Clock::now(), retry_at);
    if (!turn) {
      event.WaitUntil(std::min(retry_at, give_up_at));
    }
  }
  m_system.StopWaiting(id, order);
  m_waiting.erase(order.m_ticket);
  if (!turn) {
    WakeNext(id);
  }
  if (call.HasLeft()) {
    throw Error(ErrorCode::kClientLeft);
  }
  if (!turn && Clock::now() >= give_up_at) {
    ThrowFailure(call, ErrorCode::kServerSaturated,
                 ErrorCode::kDeadlineExceeded);
  }
  return turn;
}

// Only the first in order can be sent, so only it is woken.
void RequestHandler::WakeNext(SendServerId id) {
  if (const auto first = m_system.FirstWaiting(id)) {
    m_waiting.at(first->m_ticket)->Notify();
  }
}

RequestHandler::Verdict RequestHandler::Attempt(const HttpRequest& request,
                                                Call& call,
                                                const RoutedServer& server,
                                                HttpResponse& response) {
  const TimePoint started = Clock::now();
  const SendServerId id = m_system.RowOf(server, started);
  const RoutedService* service = call.m_routes->FindService(call.m_service);
  const Duration cold_pause =
      ColdPause(service ? service->m_cold_rate : 0, call.m_snapshot->m_members);
  m_system.OnSent(id, server, cold_pause, started);
  WakeNext(id);
  ++call.m_attempts;
  call.m_last_server = server.m_id;
  call.m_tried.insert(server.m_id);
  HttpRequest forwarded = m_front.ForServer(
      request, {server.m_id, call.WorkspaceName(), call.m_deadline - started});
  ServerAnswer answer;
  ExchangeOptions options;
  options.m_matches_request = [&](const HttpResponse& received) {
    answer = m_front.Judge(call.m_request, received);
    return answer.m_kind != AnswerKind::kInvalid;
  };
  options.m_force_new_connection = call.m_attempts > 1;
  ExchangeResult result = m_client.Exchange(
      server.m_address, forwarded, call.m_deadline + kAnswerMargin, options);
  const Verdict verdict =
      JudgeExchange(call, server, started, result, answer, response);
  WakeNext(id);
  return verdict;
}

RequestHandler::Verdict RequestHandler::JudgeExchange(
    Call& call,
    const RoutedServer& server,
    TimePoint started,
    ExchangeResult& result,
    const ServerAnswer& answer,
    HttpResponse& response) {
  const TimePoint now = Clock::now();
  const SendServerId id = m_system.RowOf(server, now);
  const Duration latency = now - started;
  if (!result.m_ok) {
    m_system.OnEnded(id, std::nullopt, false, latency, now);
    if (result.m_progress == ExchangeProgress::kNothingSent) {
      if (!call.HasLeft()) {
        m_system.OnUnreachable(id, now);
      }
      return Verdict::kNotSent;
    }
    call.m_maybe_ran = true;
    return Verdict::kLost;
  }
  m_system.OnEnded(id, answer.m_load, answer.m_kind == AnswerKind::kAnswer,
                   latency, now);
  switch (answer.m_kind) {
    case AnswerKind::kAnswer:
      response = std::move(result.m_response);
      // A failure at the server is worth a second try if that does no harm.
      return response.m_status >= 500 ? Verdict::kFailed : Verdict::kAnswered;
    case AnswerKind::kNotRun:
      m_system.OnRefused(id);
      return Verdict::kRefused;
    case AnswerKind::kMisdirected:
      return Verdict::kMisdirected;
    case AnswerKind::kInvalid:
      break;
  }
  call.m_maybe_ran = true;
  return Verdict::kLost;
}

// Sent again is only what did not run, or what may run more than once.
bool RequestHandler::MayRetry(Call& call, Verdict verdict) {
  const bool ran = verdict == Verdict::kLost || verdict == Verdict::kFailed;
  if ((ran && !call.m_route->m_idempotent) ||
      call.m_attempts >= call.m_route->m_max_attempts ||
      Clock::now() + kShortestAttempt >= call.m_deadline) {
    return false;
  }
  if (verdict != Verdict::kNotSent && !BudgetOf(call.m_service).TryRetry()) {
    return false;
  }
  m_log.Retried(
      {call.m_request.m_request_id, call.WorkspaceName(), call.m_service,
       call.m_last_server, call.m_attempts,
       std::chrono::duration_cast<milliseconds>(Clock::now() - call.m_started),
       ConfigurationVersion()},
      verdict == Verdict::kLost ? "lost" : "not_run");
  if (call.m_sharded && verdict != Verdict::kLost) {
    // The owner is the only server that can run it: give it, or the news of
    // its move, a moment.
    m_changed.WaitUntil(
        std::min(call.m_deadline, Clock::now() + kRefusalPause));
  }
  return true;
}

void RequestHandler::ThrowFailure(const Call& call,
                                  ErrorCode not_run,
                                  ErrorCode unknown) {
  if (!call.m_maybe_ran) {
    throw Error(not_run, Execution::kNotRun, call.m_service);
  }
  const bool late = Clock::now() >= call.m_deadline;
  throw Error(late ? ErrorCode::kDeadlineExceeded : unknown,
              Execution::kUnknown, call.m_service);
}

RetryBudget& RequestHandler::BudgetOf(const std::string& service) {
  const double ratio = m_settings.m_retry_percent / 100.0;
  return m_budgets.try_emplace(service, ratio, kRetryReserve).first->second;
}

MemberReport RequestHandler::TakeReport(TimePoint now, bool with_loads) {
  MemberReport report;
  report.m_demands = m_rates.BuildDemands(now);
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
  report.m_speeds = m_system.TakeSpeeds();
  return report;
}

}  // namespace foxtail
