#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "routing/routing_config.h"

namespace foxtail {

/// Limits each workspace to an equal share of its rate, with one token bucket
/// per workspace and without communication. Suited to a host that is cut off
/// from the leader, which issues the tokens in normal operation.
class EqualShareLimiter {
 public:
  /// Takes a token for a request from the workspace's bucket, which fills at
  /// 1/`members` of the workspace's rate. Returns false if the bucket holds
  /// less than one token.
  bool TryAcquire(const RoutedWorkspace& workspace,
                  size_t members,
                  TimePoint now);

 private:
  struct Bucket {
    double m_tokens = 0;
    TimePoint m_refilled_at;
  };

  std::map<std::string, Bucket> m_buckets;
};

}  // namespace foxtail
