#include "traffic/token_issuer.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// Fraction of the burst that may be outstanding at once. A successor can
// therefore grant tokens immediately, with an empty stock and the rest of the
// burst as its limit.
constexpr double kMaxOutstandingFraction = 0.5;
constexpr double kRoundingError = 1e-9;  // tokens

// Outstanding tokens: those of this issuer alone, and those that include what a
// previous issuer may have granted.
struct OutstandingSum {
  double m_own = 0;
  double m_all = 0;
};

OutstandingSum SumOutstanding(IssuedTokensRow& row, TimePoint now) {
  std::erase_if(row.m_outstanding,
                [&](const auto& out) { return now >= out.m_until; });
  OutstandingSum sum;
  for (const auto& out : row.m_outstanding) {
    sum.m_all += out.m_tokens;
    sum.m_own += out.m_dispatcher == DispatcherIdentity() ? 0 : out.m_tokens;
  }
  return sum;
}

// A burst below two tokens cannot be split; one token may then be outstanding.
double OutstandingLimit(const TokenLimit& limit) {
  return std::max(1.0, limit.m_burst * kMaxOutstandingFraction);
}

// Adds the accrued tokens. The stock and the outstanding tokens together never
// exceed the burst.
void Refill(IssuedTokensRow& row,
            const TokenLimit& limit,
            double outstanding,
            TimePoint now) {
  const double accrued = limit.m_rate * ToSeconds(now - row.m_refilled_at);
  row.m_stock = std::min(row.m_stock + accrued,
                         std::max(0.0, limit.m_burst - outstanding));
  row.m_refilled_at = now;
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
    row->second.m_refilled_at = m_began_at;
    const TimePoint until = m_began_at + m_token_ttl;
    if (now < until) {
      row->second.m_outstanding.push_back(
          {DispatcherIdentity(), OutstandingLimit(limit), until});
    }
  }
  return row->second;
}

TokenGrant TokenIssuer::Serve(const TokenLimit& limit,
                              const DispatcherIdentity& dispatcher,
                              const TokenDemand& demand,
                              TimePoint now) {
  IssuedTokensRow& row = FindOrAddRow(limit, now);
  RemoveOutstanding(row, dispatcher, demand.m_spent);
  const double returned = RemoveOutstanding(row, dispatcher, demand.m_returned);
  const OutstandingSum outstanding = SumOutstanding(row, now);
  Refill(row, limit, outstanding.m_all, now);
  row.m_stock = std::min(row.m_stock + returned,
                         std::max(0.0, limit.m_burst - outstanding.m_all));
  // Only whole tokens are granted: a fraction admits no request and would stay
  // unused.
  const double for_waiting =
      std::floor(std::min(demand.m_waiting, row.m_stock) + kRoundingError);
  row.m_stock -= for_waiting;
  const double allowance =
      std::max(0.0, OutstandingLimit(limit) - outstanding.m_own);
  const double stock =
      std::floor(std::max(0.0, std::min({demand.m_requested - for_waiting,
                                         row.m_stock, allowance})) +
                 kRoundingError);
  if (stock > 0) {
    row.m_stock -= stock;
    row.m_outstanding.push_back({dispatcher, stock, now + m_token_ttl});
  }
  row.m_limit = limit;
  row.m_counts.m_requested += demand.m_requested;
  row.m_counts.m_issued += for_waiting + stock;
  row.m_counts.m_spent += demand.m_spent;
  row.m_counts.m_returned += returned;
  TokenGrant grant;
  grant.m_workspace = limit.m_workspace;
  grant.m_tokens = for_waiting + stock;
  grant.m_for_waiting = for_waiting;
  return grant;
}

std::vector<IssuedTokensSummary> TokenIssuer::CollectSummaries(TimePoint now) {
  std::vector<IssuedTokensSummary> summaries;
  for (auto& [workspace, row] : m_rows) {
    if (row.m_counts.m_issued < row.m_counts.m_requested) {
      summaries.push_back({row.m_limit, row.m_counts, row.m_stock,
                           SumOutstanding(row, now).m_all});
    }
    row.m_counts = {};
  }
  return summaries;
}

}  // namespace foxtail
