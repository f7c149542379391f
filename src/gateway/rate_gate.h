#pragma once

#include <functional>
#include <string>

#include "gateway/even_share.h"
#include "gateway/gateway_tables.h"
#include "runtime/fiber_event.h"
#include "traffic/token_budget.h"

namespace foxtail {

/// Admits requests within their workspaces' rates: with tokens of the leader,
/// or, while the leader is not heard, with an even part of the rate.
class RateGate {
 public:
  explicit RateGate(const OwnershipSettings& settings);

  /// Sets what is called when a request waits for tokens.
  void SetWanted(std::function<void()> wanted) { m_wanted = std::move(wanted); }

  /// Takes a token; waits on the calling fiber for the leader's word. Throws
  /// `Error(kRateExceeded)`.
  void Acquire(const RoutedWorkspace& workspace,
               size_t members,
               TimePoint deadline);

  /// Gives back the token of a request that did not run.
  void ReturnToken(const std::string& workspace);

  /// Builds the demands of the next report.
  std::vector<TokenDemand> BuildDemands(TimePoint now);

  /// The leader answered a report.
  void OnLeaderWord(const LeaderWord& word);

 private:
  const OwnershipSettings& m_settings;
  TokenBudget m_budget;
  EvenShare m_even;
  FiberEvent m_granted;
  TimePoint m_leader_heard;
  std::function<void()> m_wanted;
};

}  // namespace foxtail
