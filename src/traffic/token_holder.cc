#include "traffic/token_holder.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// Part of the burst that may be out at once. A holder that takes over may then
// start at once with the rest as its limit, and nothing in stock.
constexpr double kOutstandingPart = 0.5;
constexpr double kRoundingError = 1e-9;  // tokens

// Tokens that are out: those of this holder, and all with what an earlier
// holder may have handed out.
struct OutstandingSum {
  double m_own = 0;
  double m_all = 0;
};

OutstandingSum SumOutstanding(TokenRow& row, TimePoint now) {
  std::erase_if(row.m_outstanding,
                [&](const auto& out) { return now >= out.m_until; });
  OutstandingSum sum;
  for (const auto& out : row.m_outstanding) {
    sum.m_all += out.m_tokens;
    sum.m_own += out.m_dispatcher == DispatcherIdentity() ? 0 : out.m_tokens;
  }
  return sum;
}

// A burst under two tokens leaves no part to split: then one may be out.
double OutstandingLimit(const TokenLimit& limit) {
  return std::max(1.0, limit.m_burst * kOutstandingPart);
}

// Adds what accrued. Stock and tokens that are out never exceed the burst.
void Refill(TokenRow& row,
            const TokenLimit& limit,
            double outstanding,
            TimePoint now) {
  const double accrued = limit.m_rate * ToSeconds(now - row.m_updated);
  row.m_level = std::min(row.m_level + accrued,
                         std::max(0.0, limit.m_burst - outstanding));
  row.m_updated = now;
}

// Takes tokens of a dispatcher off what is out; returns how many there were.
double Settle(TokenRow& row,
              const DispatcherIdentity& dispatcher,
              double tokens) {
  double settled = 0;
  for (auto& out : row.m_outstanding) {
    if (out.m_dispatcher == dispatcher) {
      const double part = std::min(out.m_tokens, tokens - settled);
      out.m_tokens -= part;
      settled += part;
    }
  }
  return settled;
}

}  // namespace

void TokenHolder::Begin(TimePoint now) {
  m_began = now;
  m_rows.clear();
}

// A new holder does not know what its predecessor handed out, so it starts with
// nothing in stock and the largest possible amount out. Tokens of a holder
// still earlier have run out: a takeover needs longer than their life, and a
// planned stop holds the lease at least that long.
TokenRow& TokenHolder::RowOf(const TokenLimit& limit, TimePoint now) {
  const auto [row, added] = m_rows.try_emplace(limit.m_workspace);
  if (added) {
    row->second.m_updated = m_began;
    const TimePoint until = m_began + m_token_ttl;
    if (now < until) {
      row->second.m_outstanding.push_back(
          {DispatcherIdentity(), OutstandingLimit(limit), until});
    }
  }
  return row->second;
}

TokenGrant TokenHolder::Serve(const TokenLimit& limit,
                              const DispatcherIdentity& dispatcher,
                              const TokenDemand& demand,
                              TimePoint now) {
  TokenRow& row = RowOf(limit, now);
  Settle(row, dispatcher, demand.m_spent);
  const double returned = Settle(row, dispatcher, demand.m_returned);
  const OutstandingSum outstanding = SumOutstanding(row, now);
  Refill(row, limit, outstanding.m_all, now);
  row.m_level = std::min(row.m_level + returned,
                         std::max(0.0, limit.m_burst - outstanding.m_all));
  // Whole tokens only: a part of one admits nothing and would lie idle.
  const double waiting =
      std::floor(std::min(demand.m_waiting, row.m_level) + kRoundingError);
  row.m_level -= waiting;
  const double room =
      std::max(0.0, OutstandingLimit(limit) - outstanding.m_own);
  const double stock = std::floor(
      std::max(0.0,
               std::min({demand.m_requested - waiting, row.m_level, room})) +
      kRoundingError);
  if (stock > 0) {
    row.m_level -= stock;
    row.m_outstanding.push_back({dispatcher, stock, now + m_token_ttl});
  }
  TokenGrant grant;
  grant.m_workspace = limit.m_workspace;
  grant.m_tokens = waiting + stock;
  grant.m_for_waiting = waiting;
  return grant;
}

}  // namespace foxtail
