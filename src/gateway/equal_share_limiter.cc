#include "gateway/equal_share_limiter.h"

#include <algorithm>

namespace foxtail {

bool EqualShareLimiter::TryAcquire(const RoutedWorkspace& workspace,
                                   size_t members,
                                   TimePoint now) {
  const double share = 1 / static_cast<double>(std::max<size_t>(1, members));
  // A bucket with a capacity below one token would never admit a request.
  const double burst = std::max(1.0, workspace.m_burst * share);
  Bucket& bucket = m_buckets[workspace.m_name];
  if (bucket.m_refilled_at == TimePoint()) {
    bucket.m_tokens = burst;
  } else {
    bucket.m_tokens +=
        ToSeconds(now - bucket.m_refilled_at) * workspace.m_rate * share;
  }
  bucket.m_refilled_at = now;
  bucket.m_tokens = std::min(bucket.m_tokens, burst);
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

}  // namespace foxtail
