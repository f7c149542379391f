#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "messages/sync_messages.h"
#include "routing/routing_config.h"

namespace foxtail {

/// A host's place among the hosts that share the workspaces' rates.
struct MemberPosition {
  /// Number of hosts, and this host's index among them by address. A host that
  /// is not registered has no share: `m_members` is 0.
  size_t m_members = 0;
  size_t m_index = 0;
};

/// The part of a workspace's rate that one host may use without asking.
struct EqualShare {
  /// Tokens per second, and the most tokens in stock.
  double m_rate = 0;
  double m_burst = 0;
};

/// Returns the burst that all hosts' shares of a workspace have together; the
/// leader issues the rest of the workspace's burst.
double ComputeSharesBurst(const RoutedWorkspace& workspace, size_t members);

/// Returns a host's share of a workspace's rate and burst.
EqualShare ComputeEqualShare(const RoutedWorkspace& workspace,
                             const MemberPosition& position);

/// Whether a request may use the last part of a share, which is kept for the
/// time when the leader's tokens do not come.
enum class ShareUse { kKeepReserve, kUseReserve };

/// Admits requests by this host's equal share of each workspace's rate, without
/// communication, and counts them for the leader, which charges them to the
/// workspace's budget.
class EqualShareLimiter {
 public:
  /// Takes a token for a request. Returns false if the share does not hold
  /// enough.
  bool TryAcquire(const RoutedWorkspace& workspace,
                  const MemberPosition& position,
                  ShareUse use,
                  TimePoint now);

  /// Returns when the share holds `tokens` tokens if none is taken.
  TimePoint FindRefillTime(const RoutedWorkspace& workspace,
                           const MemberPosition& position,
                           double tokens,
                           TimePoint now);

  /// Returns whether the share of a workspace holds a token or more when it is
  /// full. False before its first use.
  bool HasBurst(const std::string& workspace) const;

  /// Puts back the token of a request that did not run.
  void ReturnToken(const std::string& workspace);

  /// Empties the shares whose burst is below one token: they accrue only while
  /// the leader does not answer.
  void OnLeaderAnswer(TimePoint report_sent_at);

  /// Adds the use and the stock of the shares to the demands, with a demand for
  /// each workspace whose use is not charged or whose share is not full.
  void AddUse(std::vector<TokenDemand>& demands, TimePoint now);

  /// Records the use that the leader has charged.
  void OnUseCharged(const std::string& workspace, int64_t used);

 private:
  struct Bucket {
    double m_tokens = 0;
    EqualShare m_share;
    TimePoint m_refilled_at;

    /// Tokens used since the process started, and how many the leader has
    /// charged.
    int64_t m_used = 0;
    int64_t m_charged = 0;
  };

  static void Refill(Bucket& bucket, TimePoint now);
  Bucket& FindOrAddBucket(const RoutedWorkspace& workspace,
                          const MemberPosition& position,
                          TimePoint now);

  std::map<std::string, Bucket> m_buckets;
};

}  // namespace foxtail
