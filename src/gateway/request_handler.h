#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/metrics.h"
#include "gateway/client_patience.h"
#include "gateway/front_end.h"
#include "gateway/permit_source.h"
#include "gateway/rate_limiter.h"
#include "gateway/request_log.h"
#include "gateway/rollout_meter.h"
#include "gateway/rollout_splitter.h"
#include "gateway/routing_snapshot.h"
#include "gateway/send_system.h"
#include "gateway/traffic_splitter.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/retry_budget.h"

namespace foxtail {

/// Tells whether the configuration of API keys is recent enough to admit
/// requests.
class AccessFreshness {
 public:
  virtual ~AccessFreshness() = default;

  /// Returns whether requests with an API key may be admitted now.
  virtual bool IsFresh() const = 0;
};

/// Handles clients' requests: resolves the route, authorizes, limits the rate,
/// and forwards each request to a backend server. Runs on the fiber of the
/// client's connection. One instance for each traffic thread.
class RequestHandler {
 public:
  RequestHandler(const GatewaySettings& settings,
                 const FrontEnd& front_end,
                 const AccessFreshness& freshness,
                 PermitSource& permits,
                 RequestLog& log,
                 Metrics& metrics);

  /// Handles a request and returns the response. Errors become error responses.
  HttpResponse Handle(HttpRequest& request);

  /// Replaces the routing snapshot and wakes the waiting requests.
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Returns a report for the leader. Includes the loads and speeds since the
  /// last such report if `with_loads`, and resets them.
  MemberReport CollectReport(TimePoint now, bool with_loads);

  /// Returns what this host has seen of the running rollouts.
  std::vector<RolloutCounts> CollectRolloutCounts() const {
    return m_rollout_meter.Collect();
  }

  /// Logs and counts how requests for admission ended since the last call.
  void LogAdmissions();

  /// Logs and counts what became of the requests for permits of this host's
  /// servers since the last call.
  void LogPermits();

  /// Counts the connections to servers in an account, which limits them.
  void UseAccount(std::shared_ptr<ResourceAccount> account) {
    m_client.UseAccount(std::move(account));
  }

  RateLimiter& GetRateLimiter() { return m_rate_limiter; }

  /// Sets the callback that runs when a server has told that it is leaving.
  void SetOnServerLeaving(std::function<void()> on_server_leaving) {
    m_on_server_leaving = std::move(on_server_leaving);
  }

  /// Returns the servers that have told so since the last call.
  std::vector<LeavingServer> TakeLeavingServers();

  /// Erases the send state of servers that were not used recently.
  void Expire(TimePoint now) { m_send_system.Expire(now); }

  /// Limits the deadlines of the requests that arrive from now on.
  void LimitDeadlines(TimePoint latest) { m_latest_deadline = latest; }

  bool HasConfiguration() const { return m_snapshot && m_snapshot->m_routes; }
  uint64_t ConfigurationVersion() const;

  /// Returns the request limits. Requires `HasConfiguration()`.
  const RequestLimits& GetLimits() const {
    return m_snapshot->m_routes->GetConfig().m_limits;
  }
  size_t CountInFlight() const { return m_send_system.CountInFlight(); }

 private:
  struct RequestContext;
  enum class AttemptOutcome;
  class PermitScope;

  HttpResponse Process(HttpRequest& request, RequestContext& context);
  void Resolve(RequestContext& context);
  void Authorize(RequestContext& context);
  void Admit(RequestContext& context);
  HttpResponse SendWithRetries(const HttpRequest& request,
                               RequestContext& context);
  const RoutedServer* FindTarget(RequestContext& context);
  const RoutedServer* FindOwner(RequestContext& context);
  static std::string FindOwnerId(const RoutingSnapshot& snapshot,
                                 const RequestContext& context);
  VersionChoice ChooseVersion(RequestContext& context,
                              const ServiceEndpoints& endpoints);
  static bool LeaveTargetVersion(RequestContext& context,
                                 const ServiceEndpoints& endpoints);
  std::optional<TimePoint> FindPauseEndOfTargets(const RequestContext& context);
  void RefuseDuringPause(RequestContext& context, TimePoint pause_end);
  void WaitForTarget(RequestContext& context);
  bool WaitForTurn(RequestContext& context, const RoutedServer& server);
  bool AcquireColdStart(RequestContext& context, const RoutedServer& server);
  bool UsesPermits(const RequestContext& context) const;
  bool HasTarget(RequestContext& context);
  void RecordServices();
  bool MayServerCome(const RequestContext& context) const;
  const RoutedServer* AcquireServer(RequestContext& context);
  const RoutedServer* AcquireOwnTurn(RequestContext& context);
  const RoutedServer* AcquirePermit(RequestContext& context);
  const RoutedServer* FindGrantedServer(RequestContext& context,
                                        const PermitAnswer& answer,
                                        PermitReturn& unused);
  void ReturnPermit(RequestContext& context, const PermitReturn& outcome);
  AttemptOutcome SendOnce(const HttpRequest& request,
                          RequestContext& context,
                          const RoutedServer& server,
                          HttpResponse& response);
  AttemptOutcome ClassifyExchange(RequestContext& context,
                                  const RoutedServer& server,
                                  TimePoint started_at,
                                  ExchangeResult& result,
                                  const ServerResponse& server_response,
                                  HttpResponse& response);
  static PermitReturn BuildPermitReturn(const RequestContext& context,
                                        AttemptOutcome outcome,
                                        const ExchangeResult& result,
                                        const ServerResponse& server_response,
                                        Duration latency);
  static AttemptResult ResultOf(AttemptOutcome outcome);
  bool CanRetry(RequestContext& context, AttemptOutcome outcome);
  void ThrowFailure(const RequestContext& context,
                    ErrorCode not_run,
                    ErrorCode unknown);
  void CountSliceLoad(const RequestContext& context);
  void LogFailure(const RequestContext& context, const Error& error);
  void LogFailure(const RequestLogEntry& entry, const Error& error);
  RequestLogEntry BuildLogEntry(const RequestContext& context) const;
  void TrackBody(const RequestContext& context, HttpResponse& response);
  RetryBudget& GetRetryBudget(const std::string& service);
  void WakeQueueHead(SendServerId id);

  const GatewaySettings& m_settings;
  const FrontEnd& m_front_end;
  const AccessFreshness& m_freshness;
  RequestLog& m_request_log;
  Metrics& m_metrics;
  HttpClient m_client;
  SendSystem m_send_system;
  PermitSource& m_permits;
  ClientPatience m_patience;
  RateLimiter m_rate_limiter;
  TrafficSplitter m_splitter;
  RolloutSplitter m_rollout_splitter;
  RolloutMeter m_rollout_meter;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  std::map<std::string, RetryBudget> m_retry_budgets;

  /// Configured services that have had servers since this process started.
  std::set<std::string> m_services_with_servers;

  /// Events that wake the requests queued for a server, by ticket.
  std::unordered_map<uint64_t, FiberEvent*> m_queued_events;
  FiberEvent m_snapshot_changed;
  std::map<std::string, std::map<uint16_t, uint16_t>> m_slice_counts;
  uint64_t m_last_ticket = 0;
  TimePoint m_latest_deadline = TimePoint::max();
  std::vector<LeavingServer> m_new_leaving;
  std::function<void()> m_on_server_leaving = [] {};
};

}  // namespace foxtail
