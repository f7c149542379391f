#pragma once

#include <string>
#include <vector>

#include "entry/controller_finder.h"
#include "runtime/address.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/token_budget.h"

namespace foxtail {

/// Keeps the tokens of one traffic thread supplied by their holder.
class TokenClient {
 public:
  /// `control_processes` are all control processes; any of them may be the
  /// holder.
  TokenClient(TokenBudget& budget,
              DispatcherName identity,
              std::vector<std::string> control_processes,
              std::string cluster_secret,
              Duration token_wait);

  /// Takes one token, waiting for the holder if there is none. Throws
  /// `Error(kRateExceeded)` when the holder gives none in time, or
  /// `Error(kAccessStale)` when no holder answers.
  void Acquire(const std::string& workspace, TimePoint deadline);

  /// Supplies tokens until `Stop`; runs in a fiber of its own.
  void Loop();

  void Stop();

 private:
  void RequestTokens();
  void BackOffIfAllTried();

  TokenBudget& m_budget;
  DispatcherName m_identity;
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
