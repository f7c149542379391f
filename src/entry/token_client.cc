#include "entry/token_client.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "core/error.h"
#include "messages/codec.h"
#include "runtime/cluster_request.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRequestTimeout{250};

// The stock is checked this often even when no request waits for a token.
constexpr milliseconds kCheckPeriod{20};

// Delays before the next token request: after a response that granted fewer
// tokens than requested, and after all control processes have failed.
constexpr milliseconds kPartialGrantBackoff{5};
constexpr milliseconds kFailureBackoff{20};

}  // namespace

TokenClient::TokenClient(TokenBudget& budget,
                         DispatcherIdentity identity,
                         std::vector<std::string> control_processes,
                         std::string cluster_secret,
                         Duration token_wait)
    : m_budget(budget),
      m_identity(std::move(identity)),
      m_cluster_secret(std::move(cluster_secret)),
      m_token_wait(token_wait),
      m_finder(std::move(control_processes)) {}

void TokenClient::Acquire(const std::string& workspace, TimePoint deadline) {
  const TimePoint start = Clock::now();
  m_budget.OnArrival(workspace, start);
  if (m_budget.TryAcquire(workspace, start)) {
    return;
  }
  m_budget.AddWaiting(workspace);
  bool acquired = false;
  const TimePoint refuse_at = std::min(deadline, start + m_token_wait);
  // Until the issuer has denied tokens, the workspace is not known to exceed
  // its rate, so the request may wait until its deadline.
  while (!acquired) {
    const TimePoint now = Clock::now();
    const bool denied = m_budget.WasDenied(workspace, start);
    if (now >= deadline || (now >= refuse_at && denied)) {
      break;
    }
    m_refill_needed.Notify();
    m_tokens_granted.WaitUntil(std::min(
        deadline, now < refuse_at ? refuse_at : now + kFailureBackoff));
    acquired = m_budget.TryAcquire(workspace, Clock::now());
  }
  m_budget.RemoveWaiting(workspace);
  if (!acquired) {
    throw Error(m_budget.WasDenied(workspace, start) ? ErrorCode::kRateExceeded
                                                     : ErrorCode::kAccessStale,
                workspace);
  }
}

void TokenClient::Loop() {
  while (!m_stopping) {
    const TimePoint now = Clock::now();
    if (m_budget.NeedsTokens(now) && now >= m_next_request_at) {
      RequestTokens();
      continue;
    }
    const TimePoint wake_at =
        now < m_next_request_at && m_budget.NeedsTokens(now)
            ? m_next_request_at
            : now + kCheckPeriod;
    m_refill_needed.WaitUntil(wake_at);
  }
}

void TokenClient::Stop() {
  m_stopping = true;
  m_refill_needed.Notify();
}

void TokenClient::RequestTokens() {
  const TimePoint sent_at = Clock::now();
  TokenRequest request;
  request.m_dispatcher = m_identity;
  request.m_demands = m_budget.BuildDemands(sent_at);
  const HttpRequest http_request =
      BuildClusterRequest("/tokens", m_cluster_secret, EncodeMessage(request));
  TokenResponse response;
  try {
    const HttpResponse http_response = m_client.Call(
        ParseAddress(m_finder.GetCurrent()), http_request, kRequestTimeout);
    DecodeMessage(http_response.m_body, response);
  } catch (const Error&) {
    m_finder.OnNoResponse(Clock::now());
    BackOffIfAllTried();
    return;
  }
  if (response.m_status != SyncStatus::kOk) {
    m_finder.OnNotController(response.m_controller, Clock::now());
    BackOffIfAllTried();
    return;
  }
  m_budget.OnGrants(response, sent_at, Clock::now());
  double missing = 0;
  for (const TokenDemand& demand : request.m_demands) {
    missing += demand.m_requested;
  }
  for (const TokenGrant& grant : response.m_grants) {
    missing -= grant.m_tokens;
  }
  if (missing > 0) {
    m_next_request_at = Clock::now() + kPartialGrantBackoff;
  }
  m_tokens_granted.Notify();
}

void TokenClient::BackOffIfAllTried() {
  if (m_finder.TakeBackoff()) {
    m_next_request_at = Clock::now() + kFailureBackoff;
  }
}

}  // namespace foxtail
