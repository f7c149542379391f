#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "messages/sync_messages.h"

namespace foxtail {

/// Rate and burst of a workspace over all hosts together.
struct TokenLimit {
  std::string m_workspace;

  /// Tokens per second, and maximum tokens in stock and outstanding together.
  double m_rate = 0;
  double m_burst = 0;
};

/// Tokens of a workspace by what became of them.
struct IssuedTokenCounts {
  double m_requested = 0;
  double m_issued = 0;
  double m_spent = 0;
  double m_returned = 0;
};

/// What the issuer holds of a workspace and has issued since the last summary.
struct IssuedTokensSummary {
  TokenLimit m_limit;
  IssuedTokenCounts m_counts;
  double m_stock = 0;
  double m_outstanding = 0;
};

/// Stock and outstanding tokens of a workspace at the issuer.
struct IssuedTokensRow {
  double m_stock = 0;
  TimePoint m_refilled_at;

  /// Tokens granted to a dispatcher that may be used before `m_until`. The
  /// dispatcher is empty for tokens of a previous issuer.
  struct Outstanding {
    DispatcherIdentity m_dispatcher;
    double m_tokens = 0;
    TimePoint m_until;
  };
  std::vector<Outstanding> m_outstanding;

  TokenLimit m_limit;
  IssuedTokenCounts m_counts;
};

/// Grants the rate limit tokens of all workspaces. There is one issuer at a
/// time; the stock and the outstanding tokens of a workspace together never
/// exceed its burst.
class TokenIssuer {
 public:
  /// `token_ttl` is how long a token counts as outstanding, including a margin
  /// for clock drift.
  explicit TokenIssuer(Duration token_ttl) : m_token_ttl(token_ttl) {}

  /// Starts as a new issuer, which does not know the tokens that its
  /// predecessor granted.
  void Begin(TimePoint now);

  /// Applies a dispatcher's demand and returns the tokens granted.
  TokenGrant Serve(const TokenLimit& limit,
                   const DispatcherIdentity& dispatcher,
                   const TokenDemand& demand,
                   TimePoint now);

  /// Returns the summaries of the workspaces that were issued fewer tokens than
  /// requested since the last call, and resets all counts.
  std::vector<IssuedTokensSummary> CollectSummaries(TimePoint now);

 private:
  IssuedTokensRow& FindOrAddRow(const TokenLimit& limit, TimePoint now);

  Duration m_token_ttl;
  TimePoint m_began_at;
  std::map<std::string, IssuedTokensRow> m_rows;
};

}  // namespace foxtail
