#pragma once

#include <string>
#include <vector>

#include "entry/controller_finder.h"
#include "runtime/address.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/token_budget.h"

namespace foxtail {

/// Requests rate limit tokens for one traffic thread from their issuer.
class TokenClient {
 public:
  /// `control_processes`: addresses of all control processes; any of them may
  /// be the issuer. `token_wait`: how long a request waits for a token that the
  /// issuer denied.
  TokenClient(TokenBudget& budget,
              DispatcherIdentity identity,
              std::vector<std::string> control_processes,
              std::string cluster_secret,
              Duration token_wait);

  /// Acquires one token and waits for the issuer if none is in stock. Throws
  /// `Error(kRateExceeded)` if the issuer grants none in time, or
  /// `Error(kAccessStale)` if no issuer responds.
  void Acquire(const std::string& workspace, TimePoint deadline);

  /// Requests tokens as needed until `Stop`; runs in its own fiber.
  void Loop();

  void Stop();

 private:
  void RequestTokens();
  void BackOffIfAllTried();

  TokenBudget& m_budget;
  DispatcherIdentity m_identity;
  std::string m_cluster_secret;
  Duration m_token_wait;
  HttpClient m_client;
  ControllerFinder m_finder;
  FiberEvent m_refill_needed;
  FiberEvent m_tokens_granted;
  TimePoint m_next_request_at;
  bool m_stopping = false;
};

}  // namespace foxtail
