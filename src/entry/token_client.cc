#include "entry/token_client.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "core/error.h"
#include "messages/codec.h"
#include "runtime/cluster_request.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{250};

// The stock is looked at this often even when nobody waits.
constexpr milliseconds kCheckPeriod{20};

// Pause after an answer that gave less than was asked for, and after a call
// that failed.
constexpr milliseconds kShortPause{5};
constexpr milliseconds kFailurePause{20};

}  // namespace

TokenClient::TokenClient(TokenBudget& budget,
                         DispatcherName self,
                         std::vector<std::string> controls,
                         std::string cluster_secret,
                         Duration wait)
    : m_budget(budget),
      m_self(std::move(self)),
      m_cluster_secret(std::move(cluster_secret)),
      m_wait(wait),
      m_finder(std::move(controls)) {}

void TokenClient::Acquire(const std::string& workspace, TimePoint deadline) {
  const TimePoint start = Clock::now();
  m_budget.OnArrival(workspace, start);
  if (m_budget.TryTake(workspace, start)) {
    return;
  }
  m_budget.AddWaiting(workspace);
  bool taken = false;
  const TimePoint refuse_at = std::min(deadline, start + m_wait);
  // Until the holder has said that there are no tokens, the request may wait
  // for its whole deadline: it is not known to be over its rate.
  while (!taken) {
    const TimePoint now = Clock::now();
    const bool denied = m_budget.WasDenied(workspace, start);
    if (now >= deadline || (now >= refuse_at && denied)) {
      break;
    }
    m_wanted.Notify();
    m_granted.WaitUntil(
        std::min(deadline, now < refuse_at ? refuse_at : now + kFailurePause));
    taken = m_budget.TryTake(workspace, Clock::now());
  }
  m_budget.RemoveWaiting(workspace);
  if (!taken) {
    throw Error(m_budget.WasDenied(workspace, start) ? ErrorCode::kRateExceeded
                                                     : ErrorCode::kAccessStale,
                workspace);
  }
}

void TokenClient::Loop() {
  while (!m_stopping) {
    const TimePoint now = Clock::now();
    if (m_budget.NeedsTokens(now) && now >= m_not_before) {
      Fetch();
      continue;
    }
    const TimePoint wake = now < m_not_before && m_budget.NeedsTokens(now)
                               ? m_not_before
                               : now + kCheckPeriod;
    m_wanted.WaitUntil(wake);
  }
}

void TokenClient::Stop() {
  m_stopping = true;
  m_wanted.Notify();
}

void TokenClient::Fetch() {
  const TimePoint sent = Clock::now();
  TokenRequest request;
  request.m_dispatcher = m_self;
  request.m_demands = m_budget.BuildDemands(sent);
  const HttpRequest call =
      BuildClusterRequest("/tokens", m_cluster_secret, EncodeMessage(request));
  TokenResponse response;
  try {
    const HttpResponse answer =
        m_client.Call(ParseAddress(m_finder.GetCurrent()), call, kCallTimeout);
    DecodeMessage(answer.m_body, response);
  } catch (const Error&) {
    m_finder.OnNoAnswer(Clock::now());
    PauseIfAllAsked();
    return;
  }
  if (response.m_status != SyncStatus::kOk) {
    m_finder.OnNotController(response.m_controller, Clock::now());
    PauseIfAllAsked();
    return;
  }
  m_budget.OnGrants(response, sent);
  double wanted = 0;
  for (const TokenDemand& demand : request.m_demands) {
    wanted += demand.m_wanted;
  }
  for (const TokenGrant& grant : response.m_grants) {
    wanted -= grant.m_tokens;
  }
  if (wanted > 0) {
    m_not_before = Clock::now() + kShortPause;
  }
  m_granted.Notify();
}

void TokenClient::PauseIfAllAsked() {
  if (m_finder.TakePause()) {
    m_not_before = Clock::now() + kFailurePause;
  }
}

}  // namespace foxtail
