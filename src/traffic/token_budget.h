#pragma once

#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/table.h"
#include "core/time.h"
#include "messages/sync_messages.h"

namespace foxtail {

/// Demand and tokens of one workspace at one traffic thread.
struct TokenBudgetRow {
  std::string m_workspace;

  /// Tokens that were granted together and that expire at `m_until`.
  struct TokenBatch {
    double m_tokens = 0;
    TimePoint m_until;
  };
  std::vector<TokenBatch> m_batches;

  /// Tokens used and not yet reported. A report without a response is not
  /// repeated: its tokens expire at the issuer instead.
  double m_unreported = 0;

  /// Tokens to report as refunded.
  double m_refunded = 0;

  /// When the last request was sent that the issuer denied.
  TimePoint m_denied_at;

  /// When the response to that request arrived.
  TimePoint m_denial_received_at;

  /// Requests that wait for a token.
  size_t m_waiting = 0;

  /// Most tokens to keep in stock for future requests.
  double m_stock_limit = std::numeric_limits<double>::infinity();

  /// Client requests since `m_measured_at`, and their smoothed rate per second.
  double m_arrivals = 0;
  double m_demand_rate = 0;
  TimePoint m_measured_at;
  TimePoint m_last_arrival_at;
};

/// Determines how many tokens a traffic thread keeps in stock.
class ShareStrategy {
 public:
  virtual ~ShareStrategy() = default;

  /// Returns the target stock of a workspace, in tokens.
  virtual double Target(const TokenBudgetRow& row) const = 0;
};

/// The same stock regardless of demand; the baseline strategy.
class FixedShare : public ShareStrategy {
 public:
  explicit FixedShare(double tokens) : m_tokens(tokens) {}
  double Target(const TokenBudgetRow&) const override { return m_tokens; }

 private:
  double m_tokens;
};

/// A stock for the demand of the next `horizon` plus one token per waiting
/// request.
class DemandShare : public ShareStrategy {
 public:
  explicit DemandShare(Duration horizon) : m_horizon(horizon) {}
  double Target(const TokenBudgetRow& row) const override;

 private:
  Duration m_horizon;
};

/// Like `DemandShare`, but rounds down, so that a demand of less than one token
/// keeps no stock, and keeps to the stock limit. Suited to many hosts that each
/// receive a small part of a small rate, where one token per host would use up
/// the burst.
class WholeDemandShare : public ShareStrategy {
 public:
  explicit WholeDemandShare(Duration horizon) : m_horizon(horizon) {}
  double Target(const TokenBudgetRow& row) const override;

 private:
  Duration m_horizon;
};

/// The rate limit tokens of all workspaces at one traffic thread.
class TokenBudget {
 public:
  explicit TokenBudget(std::unique_ptr<ShareStrategy> strategy);

  /// Records the arrival of a request of a workspace.
  void OnArrival(const std::string& workspace, TimePoint now);

  /// Uses one token if one is available. Returns whether it was.
  bool TryAcquire(const std::string& workspace, TimePoint now);

  /// Returns the token of a request that was not executed to the issuer.
  void ReturnToken(const std::string& workspace);

  /// Limits the stock that is kept of a workspace for future requests.
  void SetStockLimit(const std::string& workspace, double tokens) {
    FindOrAddRow(workspace).m_stock_limit = tokens;
  }

  /// Records that a request begins or ends waiting for a token.
  void AddWaiting(const std::string& workspace);
  void RemoveWaiting(const std::string& workspace);

  /// Returns how many requests wait for a token.
  size_t CountWaiting(const std::string& workspace) {
    return FindOrAddRow(workspace).m_waiting;
  }

  /// Returns whether a request to the issuer should be sent now.
  bool NeedsTokens(TimePoint now);

  /// Builds the demands to send, and removes the surplus tokens that they
  /// return from the stock.
  std::vector<TokenDemand> BuildDemands(TimePoint now);

  /// Adds the tokens granted in response to demands that were sent at
  /// `sent_at`.
  void OnGrants(const TokenResponse& response,
                TimePoint sent_at,
                TimePoint now);

  /// Returns whether the issuer denied a request of the workspace that was sent
  /// after `since`.
  bool WasDenied(const std::string& workspace, TimePoint since);

  /// Returns whether a denial has arrived after `since`.
  bool HasReceivedDenial(const std::string& workspace, TimePoint since);

 private:
  TokenBudgetRow& FindOrAddRow(const std::string& workspace);
  void UpdateDemandRate(TokenBudgetRow& row, TimePoint now);

  std::unique_ptr<ShareStrategy> m_strategy;
  Table<TokenBudgetRow> m_rows;
  std::map<std::string, TypedId<TokenBudgetRow>> m_by_name;
};

}  // namespace foxtail
