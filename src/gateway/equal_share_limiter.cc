#include "gateway/equal_share_limiter.h"

#include <algorithm>
#include <cmath>

#include "core/digest.h"

namespace foxtail {
namespace {

// Fraction of a workspace's burst that is divided among the hosts, and the
// fraction if the former is less than a token for each host: most hosts then
// depend on the leader, so it must keep more.
constexpr double kDividedBurst = 0.6;
constexpr double kDividedSmallBurst = 0.25;

// Part of a share's burst that is used only without the leader's tokens.
constexpr double kReservedPart = 0.7;

// Deals out `tokens` whole tokens among the hosts, one each to as many as there
// are tokens. The workspace's name decides where the deal begins, so that not
// the same hosts receive the tokens of all workspaces.
double DealWholeTokens(double tokens,
                       const std::string& workspace,
                       const MemberPosition& position) {
  const auto whole = static_cast<size_t>(tokens);
  const size_t place =
      (position.m_index + FastHash(workspace)) % position.m_members;
  return static_cast<double>((place + 1) * whole / position.m_members -
                             place * whole / position.m_members);
}

}  // namespace

double ComputeSharesBurst(const RoutedWorkspace& workspace, size_t members) {
  const double divided = workspace.m_burst * kDividedBurst;
  return divided >= static_cast<double>(members)
             ? divided
             : std::floor(workspace.m_burst * kDividedSmallBurst);
}

EqualShare ComputeEqualShare(const RoutedWorkspace& workspace,
                             const MemberPosition& position) {
  EqualShare share;
  if (position.m_members == 0) {
    return share;
  }
  const auto members = static_cast<double>(position.m_members);
  const double tokens = ComputeSharesBurst(workspace, position.m_members);
  share.m_rate = workspace.m_rate / members;
  share.m_burst = tokens / members;
  // A bucket below one token admits no request.
  if (share.m_burst < 1) {
    share.m_burst = DealWholeTokens(tokens, workspace.m_name, position);
  }
  return share;
}

void EqualShareLimiter::Refill(Bucket& bucket, TimePoint now) {
  const double accrued =
      ToSeconds(now - bucket.m_refilled_at) * bucket.m_share.m_rate;
  bucket.m_tokens = std::min(bucket.m_tokens + accrued,
                             std::max(1.0, bucket.m_share.m_burst));
  bucket.m_refilled_at = now;
}

// A new share begins with its burst: a process takes longer to be replaced than
// the burst takes to accrue.
EqualShareLimiter::Bucket& EqualShareLimiter::FindOrAddBucket(
    const RoutedWorkspace& workspace,
    const MemberPosition& position,
    TimePoint now) {
  const EqualShare share = ComputeEqualShare(workspace, position);
  Bucket& bucket = m_buckets[workspace.m_name];
  if (bucket.m_refilled_at == TimePoint()) {
    bucket.m_tokens = share.m_burst;
    bucket.m_refilled_at = now;
  }
  bucket.m_share = share;
  Refill(bucket, now);
  return bucket;
}

bool EqualShareLimiter::TryAcquire(const RoutedWorkspace& workspace,
                                   const MemberPosition& position,
                                   ShareUse use,
                                   TimePoint now) {
  Bucket& bucket = FindOrAddBucket(workspace, position, now);
  const double reserve =
      use == ShareUse::kKeepReserve
          ? std::min(bucket.m_share.m_burst * kReservedPart,
                     std::max(0.0, bucket.m_share.m_burst - 1))
          : 0;
  if (bucket.m_tokens < 1 + reserve || bucket.m_share.m_rate <= 0) {
    return false;
  }
  bucket.m_tokens -= 1;
  ++bucket.m_used;
  return true;
}

TimePoint EqualShareLimiter::FindRefillTime(const RoutedWorkspace& workspace,
                                            const MemberPosition& position,
                                            double tokens,
                                            TimePoint now) {
  const Bucket& bucket = FindOrAddBucket(workspace, position, now);
  if (bucket.m_share.m_rate <= 0) {
    return TimePoint::max();
  }
  return now + FromSeconds((tokens - bucket.m_tokens) / bucket.m_share.m_rate);
}

bool EqualShareLimiter::HasBurst(const std::string& workspace) const {
  const auto found = m_buckets.find(workspace);
  return found != m_buckets.end() && found->second.m_share.m_burst >= 1;
}

void EqualShareLimiter::ReturnToken(const std::string& workspace) {
  Bucket& bucket = m_buckets[workspace];
  bucket.m_tokens += 1;
  --bucket.m_used;
}

void EqualShareLimiter::OnLeaderAnswer(TimePoint report_sent_at) {
  for (auto& [workspace, bucket] : m_buckets) {
    if (bucket.m_share.m_burst < 1) {
      bucket.m_tokens = 0;
      bucket.m_refilled_at = std::max(bucket.m_refilled_at, report_sent_at);
    }
  }
}

void EqualShareLimiter::AddUse(std::vector<TokenDemand>& demands,
                               TimePoint now) {
  for (auto& [workspace, bucket] : m_buckets) {
    auto demand =
        std::ranges::find(demands, workspace, &TokenDemand::m_workspace);
    Refill(bucket, now);
    const bool is_up_to_date = bucket.m_used == bucket.m_charged &&
                               bucket.m_tokens >= bucket.m_share.m_burst;
    if (demand == demands.end() && !is_up_to_date) {
      demand = demands.insert(demand, TokenDemand{.m_workspace = workspace});
    }
    if (demand != demands.end()) {
      demand->m_share_used = bucket.m_used;
      demand->m_share_uncharged = bucket.m_used - bucket.m_charged;
      demand->m_share_stock = bucket.m_tokens;
    }
  }
}

void EqualShareLimiter::OnUseCharged(const std::string& workspace,
                                     int64_t used) {
  const auto found = m_buckets.find(workspace);
  if (found != m_buckets.end()) {
    found->second.m_charged = used;
  }
}

}  // namespace foxtail
