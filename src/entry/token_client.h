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
  /// `controls` are all control processes; any of them may be the holder.
  TokenClient(TokenBudget& budget,
              DispatcherIdentity self,
              std::vector<std::string> controls,
              std::string cluster_secret,
              Duration wait);

  /// Takes one token, waiting for the holder if there is none. Throws
  /// `Error(kRateExceeded)` when the holder gives none in time, or
  /// `Error(kAccessStale)` when no holder answers.
  void Acquire(const std::string& workspace, TimePoint deadline);

  /// Supplies tokens until `Stop`; runs in a fiber of its own.
  void Loop();

  void Stop();

 private:
  void Fetch();
  void PauseIfAllAsked();

  TokenBudget& m_budget;
  DispatcherIdentity m_self;
  std::string m_cluster_secret;
  Duration m_wait;
  HttpClient m_client;
  ControllerFinder m_finder;
  FiberEvent m_wanted;
  FiberEvent m_granted;
  TimePoint m_not_before;
  bool m_stopping = false;
};

}  // namespace foxtail
