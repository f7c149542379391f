#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "core/metrics.h"
#include "gateway/front_end.h"
#include "gateway/rate_limiter.h"
#include "gateway/request_log.h"
#include "gateway/routing_snapshot.h"
#include "gateway/send_system.h"
#include "gateway/traffic_splitter.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/retry_budget.h"

namespace foxtail {

/// Tells how old the word on API keys is.
class AccessFreshness {
 public:
  virtual ~AccessFreshness() = default;

  /// Returns whether requests with an API key may be admitted now.
  virtual bool IsFresh() const = 0;
};

/// Takes each client's request through its decisions to a backend server, on
/// the client's fiber. One per traffic thread.
class RequestHandler {
 public:
  RequestHandler(const GatewaySettings& settings,
                 const FrontEnd& front,
                 const AccessFreshness& freshness,
                 RequestLog& log,
                 Metrics& metrics);

  /// Answers a request.
  HttpResponse Handle(HttpRequest& request);

  /// Acts on a new snapshot.
  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Returns a report for the leader, with loads and speeds since the last one
  /// that had them if `with_loads`.
  MemberReport TakeReport(TimePoint now, bool with_loads);

  RateLimiter& GetRates() { return m_rates; }

  /// Forgets what was not used lately.
  void Expire(TimePoint now) { m_system.Expire(now); }

  bool HasConfiguration() const { return m_snapshot && m_snapshot->m_routes; }
  uint64_t ConfigurationVersion() const;

  /// Returns the limits of the configuration, which must be known.
  const RequestLimits& GetLimits() const {
    return m_snapshot->m_routes->GetConfig().m_limits;
  }
  size_t CountInFlight() const { return m_system.CountInFlight(); }

 private:
  struct Call;
  enum class Verdict;

  HttpResponse Run(HttpRequest& request, Call& call);
  void Resolve(Call& call);
  void Authorize(Call& call);
  void Admit(Call& call);
  HttpResponse Attempts(const HttpRequest& request, Call& call);
  const RoutedServer* FindTarget(Call& call);
  const RoutedServer* FindOwner(Call& call);
  void AwaitTarget(Call& call);
  bool AwaitTurn(Call& call, const RoutedServer& server);
  Verdict Attempt(const HttpRequest& request,
                  Call& call,
                  const RoutedServer& server,
                  HttpResponse& response);
  Verdict JudgeExchange(Call& call,
                        const RoutedServer& server,
                        TimePoint started,
                        ExchangeResult& result,
                        const ServerResponse& answer,
                        HttpResponse& response);
  bool MayRetry(Call& call, Verdict verdict);
  void ThrowFailure(const Call& call, ErrorCode not_run, ErrorCode unknown);
  void CountLoad(const Call& call);
  void Note(const Call& call, const Error& error);
  RetryBudget& BudgetOf(const std::string& service);
  void WakeNext(SendServerId id);

  const GatewaySettings& m_settings;
  const FrontEnd& m_front_end;
  const AccessFreshness& m_freshness;
  RequestLog& m_log;
  Metrics& m_metrics;
  HttpClient m_client;
  SendSystem m_system;
  RateLimiter m_rates;
  TrafficSplitter m_parts;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  std::map<std::string, RetryBudget> m_budgets;

  /// Requests that wait for their turn at a server, by ticket.
  std::unordered_map<uint64_t, FiberEvent*> m_waiting;
  FiberEvent m_changed;
  std::map<std::string, std::map<uint16_t, uint16_t>> m_slice_counts;
  uint64_t m_next_ticket = 0;
};

}  // namespace foxtail
