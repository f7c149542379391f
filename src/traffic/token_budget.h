#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/table.h"
#include "core/time.h"
#include "messages/sync_messages.h"

namespace foxtail {

/// What one entry knows of one workspace's demand and tokens.
struct TokenBudgetRow {
  std::string m_workspace;

  /// Tokens in hand, and until when they may be used.
  struct TokenBatch {
    double m_tokens = 0;
    TimePoint m_until;

    /// The holder counts them as used already.
    bool m_counted_as_spent = false;
  };
  std::vector<TokenBatch> m_batches;

  /// Tokens used and not yet reported. A report that gets no answer is not
  /// repeated: those tokens run out at the holder instead.
  double m_unreported = 0;

  /// Tokens asked for in the request on its way, and when the last request was
  /// sent that the holder answered with fewer than asked for.
  double m_requested = 0;
  TimePoint m_denied_at;

  /// Requests that wait for a token.
  size_t m_waiting = 0;

  /// Requests since the last measurement, and their smoothed rate a second.
  double m_arrivals = 0;
  double m_demand_rate = 0;
  TimePoint m_measured_at;
  TimePoint m_last_arrival_at;
};

/// How many tokens an entry asks for.
class ShareStrategy {
 public:
  virtual ~ShareStrategy() = default;

  /// Returns the stock the entry wants to have for a workspace.
  virtual double Target(const TokenBudgetRow& row) const = 0;
};

/// The same stock whatever the demand; the baseline.
class FixedShare : public ShareStrategy {
 public:
  explicit FixedShare(double tokens) : m_tokens(tokens) {}
  double Target(const TokenBudgetRow&) const override { return m_tokens; }

 private:
  double m_tokens;
};

/// A stock for the demand of the next `horizon`, and one for each request that
/// waits.
class DemandShare : public ShareStrategy {
 public:
  explicit DemandShare(Duration horizon) : m_horizon(horizon) {}
  double Target(const TokenBudgetRow& row) const override;

 private:
  Duration m_horizon;
};

/// As `DemandShare`, but in whole tokens: where less than one is needed, none
/// is kept. Load pattern: many hosts, of which each sees a small part of a
/// small rate, so that one token each would use up the burst.
class WholeDemandShare : public ShareStrategy {
 public:
  explicit WholeDemandShare(Duration horizon) : m_horizon(horizon) {}
  double Target(const TokenBudgetRow& row) const override;

 private:
  Duration m_horizon;
};

/// Tokens of all workspaces at one traffic thread.
class TokenBudget {
 public:
  explicit TokenBudget(std::unique_ptr<ShareStrategy> strategy);

  /// Notes the arrival of a request of a workspace.
  void OnArrival(const std::string& workspace, TimePoint now);

  /// Uses one token if there is one.
  bool TryAcquire(const std::string& workspace, TimePoint now);

  /// Gives back the token of a request that did not run; usable until `until`.
  void ReturnToken(const std::string& workspace, TimePoint until);

  /// Notes that a request begins or ceases to wait for a token.
  void AddWaiting(const std::string& workspace);
  void RemoveWaiting(const std::string& workspace);

  /// Returns whether a request to the holder is worth sending now.
  bool NeedsTokens(TimePoint now);

  /// Builds the demands to send. What is given back can no longer be used.
  std::vector<TokenDemand> BuildDemands(TimePoint now);

  /// Takes in an answer to demands that were sent at `sent_at`.
  void OnGrants(const TokenResponse& response, TimePoint sent_at);

  /// Returns whether the holder gave the workspace fewer tokens than asked for
  /// in answer to a request sent after `since`.
  bool WasDenied(const std::string& workspace, TimePoint since);

 private:
  TokenBudgetRow& FindOrAddRow(const std::string& workspace);
  void UpdateDemandRate(TokenBudgetRow& row, TimePoint now);

  std::unique_ptr<ShareStrategy> m_strategy;
  Table<TokenBudgetRow> m_rows;
  std::map<std::string, TypedId<TokenBudgetRow>> m_by_name;
};

}  // namespace foxtail
