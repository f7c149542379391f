#pragma once

#include <memory>
#include <random>
#include <string>

#include "core/error.h"
#include "core/event.h"
#include "core/metrics.h"
#include "entry/dispatcher.h"
#include "entry/entry_settings.h"
#include "entry/token_client.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/access_index.h"
#include "traffic/retry_budget.h"

namespace foxtail {

/// The API key data of a traffic thread, and until when it may be used.
struct AccessState {
  std::shared_ptr<const AccessIndex> m_index;
  TimePoint m_fresh_until;
};

/// Handles client requests: authenticates, rate-limits, routes, forwards and
/// retries each request on the fiber that calls `Handle`.
class ClientHandler {
 public:
  /// `self_address` is the internal address of this thread; requests to this
  /// address are dispatched locally instead of over the network.
  ClientHandler(const EntrySettings& settings,
                std::string self_address,
                DispatchSystem& system,
                Dispatcher& dispatcher,
                TokenClient& tokens,
                const AccessState& access,
                FiberEvent& state_changed,
                EventLog& events,
                Metrics& metrics);

  /// Handles one request and returns its response. Errors are returned as error
  /// responses.
  HttpResponse Handle(HttpRequest& request);

 private:
  struct RequestContext;

  HttpResponse Process(HttpRequest& request, RequestContext& context);
  void ResolveRoute(const HttpRequest& request, RequestContext& context);
  void Authorize(const HttpRequest& request, RequestContext& context);
  void ReadRequestHeaders(const HttpRequest& request, RequestContext& context);
  HttpResponse Forward(const HttpRequest& request, RequestContext& context);
  bool ChooseDispatcher(RequestContext& context) const;
  HttpResponse Attempt(const HttpRequest& request,
                       const RequestContext& context);
  HttpResponse SendToDispatcher(const HttpRequest& request,
                                const RequestContext& context);
  bool MayRetry(const Error& error, const RequestContext& context);
  void BackOff(RequestContext& context);
  void RecordFailure(const RequestContext& context, const Error& error);

  const EntrySettings& m_settings;
  std::string m_self_address;
  DispatchSystem& m_system;
  Dispatcher& m_dispatcher;
  TokenClient& m_tokens;
  const AccessState& m_access;
  FiberEvent& m_state_changed;
  EventLog& m_events;
  Metrics& m_metrics;
  HttpClient m_client;
  RetryBudget m_retry_budget;
  std::minstd_rand m_jitter_source;
};

}  // namespace foxtail
