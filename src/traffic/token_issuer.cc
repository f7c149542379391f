#include "traffic/token_issuer.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// Fraction of the burst that may be outstanding at once. A successor can
// therefore grant tokens immediately, with an empty stock and the rest of the
// burst as its limit.
constexpr double kMaxOutstandingFraction = 0.5;

// A demand is denied if the rate does not yield what is missing in this time. A
// smaller shortage passes while the requests wait.
constexpr std::chrono::milliseconds kDenialHorizon{100};

constexpr double kRoundingError = 1e-9;  // tokens

// Outstanding tokens: those in the dispatchers' stocks, and all of them with
// those for waiting requests and what a previous issuer may have granted.
struct OutstandingSum {
  double m_in_stocks = 0;
  double m_all = 0;
};

OutstandingSum SumOutstanding(IssuedTokensRow& row, TimePoint now) {
  std::erase_if(row.m_outstanding,
                [&](const auto& out) { return now >= out.m_until; });
  OutstandingSum sum;
  for (const auto& out : row.m_outstanding) {
    sum.m_all += out.m_tokens;
    sum.m_in_stocks += out.m_for_stock ? out.m_tokens : 0;
  }
  return sum;
}

// A burst below two tokens cannot be split; one token may then be outstanding.
double OutstandingLimit(const TokenLimit& limit) {
  return std::max(1.0, limit.m_burst * kMaxOutstandingFraction);
}

// Adds the accrued and the refunded tokens. The stock and the outstanding
// tokens together never exceed the burst.
void Refill(IssuedTokensRow& row,
            const TokenLimit& limit,
            double refunded,
            double outstanding) {
  const double accrued =
      limit.m_rate * ToSeconds(limit.m_accrued_for - row.m_accrued_for);
  row.m_stock = std::min(row.m_stock + accrued + refunded,
                         std::max(0.0, limit.m_burst - outstanding));
  row.m_accrued_for = limit.m_accrued_for;
}

// Returns the most that a host can have used of its share since its last
// report, on average over the hosts. Shares below one token are dealt out in
// whole tokens or hold only what accrues in this time, and a request needs a
// whole token.
double CountUnreportedUseOf(const ShareHolder& holder,
                            const TokenLimit& limit) {
  const double accrued =
      limit.m_rate * holder.m_part * ToSeconds(holder.m_unreported_for);
  const double burst = limit.m_shares_burst * holder.m_part;
  return burst + (burst < 1 ? std::floor(accrued) : accrued);
}

// Returns the most that all hosts can have used of their shares since their
// last reports.
double CountUnreportedUse(const TokenLimit& limit) {
  double sum = 0;
  for (const ShareHolder& holder : limit.m_holders) {
    sum += CountUnreportedUseOf(holder, limit);
  }
  return sum;
}

// Like `CountUnreportedUse`, but counts for each host whose report named the
// workspace no more than it had left then and has accrued since.
double CountUnreportedUseByHost(const IssuedTokensRow& row,
                                const TokenLimit& limit,
                                TimePoint now) {
  double sum = 0;
  for (const ShareHolder& holder : limit.m_holders) {
    double most = CountUnreportedUseOf(holder, limit);
    const auto use = row.m_share_uses.find(holder.m_address);
    if (use != row.m_share_uses.end()) {
      const double accrued = limit.m_rate * holder.m_part *
                             ToSeconds(now - use->second.m_reported_at);
      most = std::min(most, use->second.m_stock + accrued);
    }
    sum += most;
  }
  return sum;
}

// Returns the tokens that must stay in stock. The closer count takes longer, so
// it is made only when the simple one leaves too little for a demand.
double CountWithheld(const IssuedTokensRow& row,
                     const TokenLimit& limit,
                     double requested,
                     TimePoint now) {
  const double most = CountUnreportedUse(limit);
  return row.m_stock - most >= requested
             ? most
             : CountUnreportedUseByHost(row, limit, now);
}

// Returns the tokens to charge for a host's use of its share since its last
// report, and records the report.
double TakeShareCharge(IssuedTokensRow& row,
                       const DispatcherIdentity& dispatcher,
                       const TokenDemand& demand,
                       const ShareChargeTerms& terms) {
  IssuedTokensRow::ShareUse& use = row.m_share_uses[dispatcher.m_address];
  const bool known = use.m_incarnation == dispatcher.m_incarnation;
  const int64_t unreported =
      known ? demand.m_share_used - use.m_used : demand.m_share_uncharged;
  use = {dispatcher.m_incarnation, demand.m_share_used, demand.m_share_stock,
         terms.m_reported_at};
  const auto tokens = static_cast<double>(unreported);
  // A negative use, of returned tokens, is a refund.
  return unreported < 0
             ? tokens
             : std::clamp(tokens - terms.m_covered, 0.0, terms.m_max_charge);
}

// Removes up to `tokens` outstanding tokens of a dispatcher; returns the number
// removed.
double RemoveOutstanding(IssuedTokensRow& row,
                         const DispatcherIdentity& dispatcher,
                         double tokens) {
  double removed = 0;
  for (auto& out : row.m_outstanding) {
    if (out.m_dispatcher == dispatcher) {
      const double part = std::min(out.m_tokens, tokens - removed);
      out.m_tokens -= part;
      removed += part;
    }
  }
  return removed;
}

}  // namespace

void TokenIssuer::Begin(TimePoint now) {
  m_began_at = now;
  m_rows.clear();
}

// A new issuer does not know what its predecessor granted, so it starts with an
// empty stock and assumes the maximum amount to be outstanding. Tokens of the
// issuer before its predecessor have expired: a takeover takes longer than the
// token TTL, and a graceful shutdown keeps the lease at least that long.
IssuedTokensRow& TokenIssuer::FindOrAddRow(const TokenLimit& limit,
                                           TimePoint now) {
  const auto [row, added] = m_rows.try_emplace(limit.m_workspace);
  if (added) {
    const TimePoint until = m_began_at + m_token_ttl;
    if (now < until) {
      row->second.m_outstanding.push_back(
          {DispatcherIdentity(), OutstandingLimit(limit), until, false});
    }
  }
  return row->second;
}

TokenGrant TokenIssuer::Serve(const TokenLimit& limit,
                              const DispatcherIdentity& dispatcher,
                              const TokenDemand& demand,
                              const ShareChargeTerms& terms,
                              TimePoint now) {
  IssuedTokensRow& row = FindOrAddRow(limit, now);
  RemoveOutstanding(row, dispatcher, demand.m_spent);
  const double returned = RemoveOutstanding(row, dispatcher, demand.m_returned);
  const OutstandingSum outstanding = SumOutstanding(row, now);
  // Charged after the refill: the use may be newer than the tokens that the
  // burst cut off.
  const double charge = TakeShareCharge(row, dispatcher, demand, terms);
  const double refunded = returned + demand.m_refunded - std::min(0.0, charge);
  Refill(row, limit, refunded, outstanding.m_all);
  row.m_stock -= std::max(0.0, charge);
  // Only whole tokens are granted: a fraction admits no request and would stay
  // unused.
  row.m_withheld = demand.m_requested > 0
                       ? CountWithheld(row, limit, demand.m_requested, now)
                       : 0;
  const double available = std::max(0.0, row.m_stock - row.m_withheld);
  const double for_waiting =
      std::floor(std::min(demand.m_waiting, available) + kRoundingError);
  const double allowance =
      std::max(0.0, OutstandingLimit(limit) - outstanding.m_in_stocks);
  const double stock =
      std::floor(std::max(0.0, std::min({demand.m_requested - for_waiting,
                                         available - for_waiting, allowance})) +
                 kRoundingError);
  const double missing = demand.m_requested - for_waiting - stock;
  const bool denied =
      missing > std::max(1.0, limit.m_rate * ToSeconds(kDenialHorizon));
  row.m_stock -= for_waiting + stock;
  if (for_waiting > 0) {
    row.m_outstanding.push_back(
        {dispatcher, for_waiting, now + m_token_ttl, false});
  }
  if (stock > 0) {
    row.m_outstanding.push_back({dispatcher, stock, now + m_token_ttl, true});
  }
  row.m_limit = limit;
  row.m_limit.m_holders = {};  // valid during this call only
  row.m_counts.m_requested += demand.m_requested;
  row.m_counts.m_issued += for_waiting + stock;
  row.m_counts.m_spent += demand.m_spent;
  row.m_counts.m_returned += returned + demand.m_refunded;
  row.m_counts.m_share_charged += charge;
  TokenGrant grant;
  grant.m_workspace = limit.m_workspace;
  grant.m_tokens = for_waiting + stock;
  grant.m_denied = denied;
  grant.m_share_charged = demand.m_share_used;
  return grant;
}

std::vector<IssuedTokensSummary> TokenIssuer::CollectSummaries(TimePoint now) {
  std::vector<IssuedTokensSummary> summaries;
  for (auto& [workspace, row] : m_rows) {
    if (row.m_counts.m_issued < row.m_counts.m_requested) {
      summaries.push_back({row.m_limit, row.m_counts, row.m_stock,
                           SumOutstanding(row, now).m_all, row.m_withheld});
    }
    row.m_counts = {};
  }
  return summaries;
}

}  // namespace foxtail
