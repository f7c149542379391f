#include "traffic/token_budget.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMeasurePeriod{50};
constexpr milliseconds kIdleAfter{1000};
constexpr double kSmoothing = 0.4;

// A refill is asked for when the stock is under this part of the target, so
// that it arrives before the stock is used up.
constexpr double kRefillPart = 0.5;

double Stock(BudgetRow& row, TimePoint now) {
  std::erase_if(row.m_shares, [&](const BudgetRow::Share& share) {
    return now >= share.m_until || share.m_tokens <= 0;
  });
  double sum = 0;
  for (const BudgetRow::Share& share : row.m_shares) {
    sum += share.m_tokens;
  }
  return sum;
}

// Gives up the newest tokens first; the oldest are used first. What the holder
// counts as used cannot be given back.
double TakeBack(BudgetRow& row, double tokens) {
  double taken = 0;
  for (auto share = row.m_shares.rbegin(); share != row.m_shares.rend();
       ++share) {
    if (share->m_counted) {
      continue;
    }
    const double part = std::min(share->m_tokens, tokens - taken);
    share->m_tokens -= part;
    taken += part;
  }
  return taken;
}

}  // namespace

double DemandShare::Target(const BudgetRow& row) const {
  return std::ceil(row.m_demand * ToSeconds(m_horizon)) +
         static_cast<double>(row.m_waiting);
}

double WholeDemandShare::Target(const BudgetRow& row) const {
  return std::floor(row.m_demand * ToSeconds(m_horizon)) +
         static_cast<double>(row.m_waiting);
}

TokenBudget::TokenBudget(std::unique_ptr<ShareStrategy> strategy)
    : m_strategy(std::move(strategy)) {}

BudgetRow& TokenBudget::RowOf(const std::string& workspace) {
  auto& id = m_by_name[workspace];
  if (!id.IsValid()) {
    BudgetRow row;
    row.m_workspace = workspace;
    id = m_rows.Insert(std::move(row));
  }
  return m_rows.Get(id);
}

void TokenBudget::Measure(BudgetRow& row, TimePoint now) {
  const Duration elapsed = now - row.m_measured;
  if (elapsed < kMeasurePeriod) {
    return;
  }
  if (elapsed > kIdleAfter) {
    row.m_demand = 0;
  } else {
    const double rate = row.m_arrived / ToSeconds(elapsed);
    row.m_demand += kSmoothing * (rate - row.m_demand);
  }
  row.m_arrived = 0;
  row.m_measured = now;
}

void TokenBudget::OnArrival(const std::string& workspace, TimePoint now) {
  BudgetRow& row = RowOf(workspace);
  Measure(row, now);
  row.m_arrived += 1;
  row.m_last_arrival = now;
}

bool TokenBudget::TryTake(const std::string& workspace, TimePoint now) {
  BudgetRow& row = RowOf(workspace);
  if (Stock(row, now) < 1) {
    return false;
  }
  double missing = 1;
  for (BudgetRow::Share& share : row.m_shares) {
    const double part = std::min(share.m_tokens, missing);
    share.m_tokens -= part;
    missing -= part;
    row.m_spent += share.m_counted ? 0 : part;
  }
  return true;
}

void TokenBudget::GiveBack(const std::string& workspace, TimePoint until) {
  BudgetRow& row = RowOf(workspace);
  if (row.m_spent >= 1) {
    row.m_spent -= 1;
    row.m_shares.push_back({1, until, false});
  } else {
    // The holder counts it as used, so it is only used again here.
    row.m_shares.push_back({1, until, true});
  }
}

void TokenBudget::AddWaiting(const std::string& workspace) {
  ++RowOf(workspace).m_waiting;
}

void TokenBudget::RemoveWaiting(const std::string& workspace) {
  --RowOf(workspace).m_waiting;
}

bool TokenBudget::NeedsTokens(TimePoint now) {
  bool needed = false;
  m_rows.ForEach([&](auto, BudgetRow& row) {
    Measure(row, now);
    const double stock = Stock(row, now);
    const double target = m_strategy->Target(row);
    const bool idle = now - row.m_last_arrival > kIdleAfter;
    needed = needed || row.m_waiting > 0 ||
             (!idle && target > 0 && stock < target * kRefillPart) ||
             (idle && (stock > 0 || row.m_spent > 0));
  });
  return needed;
}

std::vector<TokenDemand> TokenBudget::BuildDemands(TimePoint now) {
  std::vector<TokenDemand> demands;
  m_rows.ForEach([&](auto, BudgetRow& row) {
    Measure(row, now);
    const double target = m_strategy->Target(row);
    const double surplus = Stock(row, now) - target;
    TokenDemand demand;
    demand.m_workspace = row.m_workspace;
    // Reported once only: the holder may have taken in a report that got no
    // answer, and counting it twice would free tokens that are still out.
    demand.m_spent = row.m_spent;
    if (surplus > 0) {
      demand.m_returned = TakeBack(row, std::floor(surplus));
    } else {
      demand.m_requested = -surplus;
      demand.m_waiting =
          std::min(demand.m_requested, static_cast<double>(row.m_waiting));
    }
    row.m_spent = 0;
    row.m_asked = demand.m_requested;
    if (demand.m_spent > 0 || demand.m_returned > 0 || demand.m_requested > 0) {
      demands.push_back(std::move(demand));
    }
  });
  return demands;
}

void TokenBudget::OnGrants(const TokenResponse& response, TimePoint sent) {
  for (const TokenGrant& grant : response.m_grants) {
    BudgetRow& row = RowOf(grant.m_workspace);
    const TimePoint until = sent + response.m_token_ttl;
    const double stock = grant.m_tokens - grant.m_for_waiting;
    if (grant.m_for_waiting > 0) {
      row.m_shares.push_back({grant.m_for_waiting, until, true});
    }
    if (stock > 0) {
      row.m_shares.push_back({stock, until, false});
    }
    if (grant.m_tokens < row.m_asked) {
      row.m_denied = sent;
    }
  }
}

bool TokenBudget::WasDenied(const std::string& workspace, TimePoint since) {
  return RowOf(workspace).m_denied > since;
}

}  // namespace foxtail
