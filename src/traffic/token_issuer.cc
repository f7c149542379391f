#include "traffic/token_issuer.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// Part of the burst that may be out at once. A holder that takes over may then
// start at once with the rest as its limit, and nothing in stock.
constexpr double kMaxOutstandingFraction = 0.5;
constexpr double kRoundingError = 1e-9;  // tokens

// Tokens that are out: those of this holder, and all with what an earlier
// holder may have handed out.
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
    sum.m_own += out.m_dispatcher == DispatcherName() ? 0 : out.m_tokens;
  }
  return sum;
}

// A burst under two tokens leaves no part to split: then one may be out.
double OutstandingLimit(const TokenLimit& limit) {
  return std::max(1.0, limit.m_burst * kMaxOutstandingFraction);
}

// Adds what accrued. Stock and tokens that are out never exceed the burst.
void Refill(IssuedTokensRow& row,
            const TokenLimit& limit,
            double outstanding,
            TimePoint now) {
  const double accrued = limit.m_rate * ToSeconds(now - row.m_refilled_at);
  row.m_stock = std::min(row.m_stock + accrued,
                         std::max(0.0, limit.m_burst - outstanding));
  row.m_refilled_at = now;
}

// Takes tokens of a dispatcher off what is out; returns how many there were.
double RemoveOutstanding(IssuedTokensRow& row,
                         const DispatcherName& dispatcher,
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

// A new holder does not know what its predecessor handed out, so it starts with
// nothing in stock and the largest possible amount out. Tokens of a holder
// still earlier have run out: a takeover needs longer than their life, and a
// planned stop holds the lease at least that long.
IssuedTokensRow& TokenIssuer::FindOrAddRow(const TokenLimit& limit,
                                           TimePoint now) {
  const auto [row, added] = m_rows.try_emplace(limit.m_workspace);
  if (added) {
    row->second.m_refilled_at = m_began_at;
    const TimePoint until = m_began_at + m_token_ttl;
    if (now < until) {
      row->second.m_outstanding.push_back(
          {DispatcherName(), OutstandingLimit(limit), until});
    }
  }
  return row->second;
}

TokenGrant TokenIssuer::Serve(const TokenLimit& limit,
                              const DispatcherName& dispatcher,
                              const TokenDemand& demand,
                              TimePoint now) {
  IssuedTokensRow& row = FindOrAddRow(limit, now);
  RemoveOutstanding(row, dispatcher, demand.m_spent);
  const double returned = RemoveOutstanding(row, dispatcher, demand.m_returned);
  const OutstandingSum outstanding = SumOutstanding(row, now);
  Refill(row, limit, outstanding.m_all, now);
  row.m_stock = std::min(row.m_stock + returned,
                         std::max(0.0, limit.m_burst - outstanding.m_all));
  // Whole tokens only: a part of one admits nothing and would lie idle.
  const double for_waiting =
      std::floor(std::min(demand.m_waiting, row.m_stock) + kRoundingError);
  row.m_stock -= for_waiting;
  const double allowance =
      std::max(0.0, OutstandingLimit(limit) - outstanding.m_own);
  const double stock =
      std::floor(std::max(0.0, std::min({demand.m_wanted - for_waiting,
                                         row.m_stock, allowance})) +
                 kRoundingError);
  if (stock > 0) {
    row.m_stock -= stock;
    row.m_outstanding.push_back({dispatcher, stock, now + m_token_ttl});
  }
  TokenGrant grant;
  grant.m_workspace = limit.m_workspace;
  grant.m_tokens = for_waiting + stock;
  grant.m_for_waiting = for_waiting;
  return grant;
}

}  // namespace foxtail
