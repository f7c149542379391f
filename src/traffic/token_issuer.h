#pragma once

#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "messages/sync_messages.h"

namespace foxtail {

/// A host that may use a share of each rate on its own.
struct ShareHolder {
  std::string_view m_address;

  /// The host's part of all shares.
  double m_part = 0;

  /// How long ago the host's last report was sent; the issuer does not know
  /// what the host has used since then.
  Duration m_unreported_for{};
};

/// Rate and burst of a workspace over all hosts together.
struct TokenLimit {
  std::string m_workspace;

  /// Tokens per second, and maximum tokens in stock and outstanding together.
  double m_rate = 0;
  double m_burst = 0;

  /// For how long tokens have accrued at this rate since the issuer began:
  /// shorter than the time that has passed if hosts that do not report use
  /// their shares of the rate on their own.
  Duration m_accrued_for{};

  /// The hosts with shares, and the burst of all their shares together. What
  /// they may have used without a report stays in stock to be charged.
  std::span<const ShareHolder> m_holders;
  double m_shares_burst = 0;
};

/// How much of a host's reported use of its share is charged.
struct ShareChargeTerms {
  /// Use for which no tokens accrued here, because the host did not report.
  double m_covered = 0;

  /// Limit on the charge of use in unknown times, before this issuer began.
  double m_max_charge = std::numeric_limits<double>::infinity();

  /// When the report was sent.
  TimePoint m_reported_at;
};

/// Tokens of a workspace by what became of them.
struct IssuedTokenCounts {
  double m_requested = 0;
  double m_issued = 0;
  double m_spent = 0;
  double m_returned = 0;
  double m_share_charged = 0;
};

/// What the issuer holds of a workspace and has issued since the last summary.
struct IssuedTokensSummary {
  TokenLimit m_limit;
  IssuedTokenCounts m_counts;
  double m_stock = 0;
  double m_outstanding = 0;

  /// What the hosts may have used of their shares at the last demand.
  double m_withheld = 0;
};

/// Stock and outstanding tokens of a workspace at the issuer.
struct IssuedTokensRow {
  /// Negative while more was charged than had accrued.
  double m_stock = 0;

  /// Accrual time at the last refill.
  Duration m_accrued_for{};

  /// Tokens granted to a dispatcher that may be used before `m_until`. The
  /// dispatcher is empty for tokens of a previous issuer.
  struct Outstanding {
    DispatcherIdentity m_dispatcher;
    double m_tokens = 0;
    TimePoint m_until;

    /// The tokens were granted for the dispatcher's stock, not for requests
    /// that already wait.
    bool m_for_stock = true;
  };
  std::vector<Outstanding> m_outstanding;

  /// Use of its share that each host has reported, by address.
  struct ShareUse {
    std::string m_incarnation;
    int64_t m_used = 0;

    /// Tokens left in the share at `m_reported_at`.
    double m_stock = 0;
    TimePoint m_reported_at;
  };
  std::map<std::string, ShareUse, std::less<>> m_share_uses;

  TokenLimit m_limit;
  IssuedTokenCounts m_counts;
  double m_withheld = 0;
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

  TimePoint GetBeganAt() const { return m_began_at; }

  /// Applies a dispatcher's demand and returns the tokens granted.
  TokenGrant Serve(const TokenLimit& limit,
                   const DispatcherIdentity& dispatcher,
                   const TokenDemand& demand,
                   const ShareChargeTerms& terms,
                   TimePoint now);

  /// Drops what is known of a workspace, which will make no more demands.
  void Forget(const std::string& workspace) { m_rows.erase(workspace); }

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
