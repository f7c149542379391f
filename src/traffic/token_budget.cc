#include "traffic/token_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDemandPeriod{50};
constexpr milliseconds kIdleTimeout{1000};
constexpr double kDemandSmoothing = 0.4;

// A refill is requested when the stock is below this fraction of the target, so
// that it arrives before the stock is used up.
constexpr double kRefillThreshold = 0.5;

double CountStock(TokenBudgetRow& row, TimePoint now) {
  std::erase_if(row.m_batches, [&](const TokenBudgetRow::TokenBatch& batch) {
    return now >= batch.m_until || batch.m_tokens <= 0;
  });
  double sum = 0;
  for (const TokenBudgetRow::TokenBatch& batch : row.m_batches) {
    sum += batch.m_tokens;
  }
  return sum;
}

// Removes up to `tokens` tokens from the stock and returns the number removed.
// The newest are removed first, because the oldest are used first.
double ReclaimTokens(TokenBudgetRow& row, double tokens) {
  double reclaimed = 0;
  for (auto batch = row.m_batches.rbegin(); batch != row.m_batches.rend();
       ++batch) {
    const double part = std::min(batch->m_tokens, tokens - reclaimed);
    batch->m_tokens -= part;
    reclaimed += part;
  }
  return reclaimed;
}

}  // namespace

double DemandShare::Target(const TokenBudgetRow& row) const {
  return std::ceil(row.m_demand_rate * ToSeconds(m_horizon)) +
         static_cast<double>(row.m_waiting);
}

double WholeDemandShare::Target(const TokenBudgetRow& row) const {
  const double stock = row.m_demand_rate * ToSeconds(m_horizon);
  return std::floor(std::min(stock, row.m_stock_limit)) +
         static_cast<double>(row.m_waiting);
}

TokenBudget::TokenBudget(std::unique_ptr<ShareStrategy> strategy)
    : m_strategy(std::move(strategy)) {}

TokenBudgetRow& TokenBudget::FindOrAddRow(const std::string& workspace) {
  auto& id = m_by_name[workspace];
  if (!id.IsValid()) {
    TokenBudgetRow row;
    row.m_workspace = workspace;
    id = m_rows.Insert(std::move(row));
  }
  return m_rows.Get(id);
}

void TokenBudget::UpdateDemandRate(TokenBudgetRow& row, TimePoint now) {
  const Duration elapsed = now - row.m_measured_at;
  if (elapsed < kDemandPeriod) {
    return;
  }
  if (elapsed > kIdleTimeout) {
    row.m_demand_rate = 0;
  } else {
    const double rate = row.m_arrivals / ToSeconds(elapsed);
    row.m_demand_rate += kDemandSmoothing * (rate - row.m_demand_rate);
  }
  row.m_arrivals = 0;
  row.m_measured_at = now;
}

void TokenBudget::OnArrival(const std::string& workspace, TimePoint now) {
  TokenBudgetRow& row = FindOrAddRow(workspace);
  UpdateDemandRate(row, now);
  row.m_arrivals += 1;
  row.m_last_arrival_at = now;
}

bool TokenBudget::TryAcquire(const std::string& workspace, TimePoint now) {
  TokenBudgetRow& row = FindOrAddRow(workspace);
  if (CountStock(row, now) < 1) {
    return false;
  }
  double missing = 1;
  for (TokenBudgetRow::TokenBatch& batch : row.m_batches) {
    const double part = std::min(batch.m_tokens, missing);
    batch.m_tokens -= part;
    missing -= part;
    row.m_unreported += part;
  }
  return true;
}

// The token is not used again here: it would outlive the time for which the
// issuer counts it as outstanding.
void TokenBudget::ReturnToken(const std::string& workspace) {
  FindOrAddRow(workspace).m_refunded += 1;
}

void TokenBudget::AddWaiting(const std::string& workspace) {
  ++FindOrAddRow(workspace).m_waiting;
}

void TokenBudget::RemoveWaiting(const std::string& workspace) {
  --FindOrAddRow(workspace).m_waiting;
}

bool TokenBudget::NeedsTokens(TimePoint now) {
  bool needed = false;
  m_rows.ForEach([&](auto, TokenBudgetRow& row) {
    UpdateDemandRate(row, now);
    const double stock = CountStock(row, now);
    const double target = m_strategy->Target(row);
    const bool idle = now - row.m_last_arrival_at > kIdleTimeout;
    needed =
        needed || row.m_waiting > 0 ||
        (!idle && target > 0 && stock < target * kRefillThreshold) ||
        (idle && (stock > 0 || row.m_unreported > 0 || row.m_refunded > 0));
  });
  return needed;
}

std::vector<TokenDemand> TokenBudget::BuildDemands(TimePoint now) {
  std::vector<TokenDemand> demands;
  m_rows.ForEach([&](auto, TokenBudgetRow& row) {
    UpdateDemandRate(row, now);
    const double target = m_strategy->Target(row);
    const double surplus = CountStock(row, now) - target;
    TokenDemand demand;
    demand.m_workspace = row.m_workspace;
    // Used tokens are reported only once: the issuer may have applied a report
    // whose response was lost, and counting it twice would free tokens that are
    // still outstanding.
    demand.m_spent = row.m_unreported;
    if (surplus > 0) {
      demand.m_returned = ReclaimTokens(row, std::floor(surplus));
    } else {
      demand.m_requested = -surplus;
      demand.m_waiting =
          std::min(demand.m_requested, static_cast<double>(row.m_waiting));
    }
    demand.m_refunded = std::exchange(row.m_refunded, 0);
    row.m_unreported = 0;
    if (demand.m_spent > 0 || demand.m_returned > 0 || demand.m_refunded > 0 ||
        demand.m_requested > 0) {
      demands.push_back(std::move(demand));
    }
  });
  return demands;
}

void TokenBudget::OnGrants(const TokenResponse& response,
                           TimePoint sent_at,
                           TimePoint now) {
  for (const TokenGrant& grant : response.m_grants) {
    TokenBudgetRow& row = FindOrAddRow(grant.m_workspace);
    if (grant.m_tokens > 0) {
      row.m_batches.push_back({grant.m_tokens, sent_at + response.m_token_ttl});
    }
    if (grant.m_denied) {
      row.m_denied_at = sent_at;
      row.m_denial_received_at = now;
    }
  }
}

bool TokenBudget::WasDenied(const std::string& workspace, TimePoint since) {
  return FindOrAddRow(workspace).m_denied_at > since;
}

bool TokenBudget::HasReceivedDenial(const std::string& workspace,
                                    TimePoint since) {
  return FindOrAddRow(workspace).m_denial_received_at > since;
}

}  // namespace foxtail
