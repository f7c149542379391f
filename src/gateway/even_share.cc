#include "gateway/even_share.h"

#include <algorithm>

namespace foxtail {

bool EvenShare::TryAcquire(const RoutedWorkspace& workspace,
                           size_t members,
                           TimePoint now) {
  const double part = 1 / static_cast<double>(std::max<size_t>(1, members));
  // A bucket under one token could never admit anything.
  const double burst = std::max(1.0, workspace.m_burst * part);
  Bucket& bucket = m_buckets[workspace.m_name];
  if (bucket.m_filled == TimePoint()) {
    bucket.m_tokens = burst;
  } else {
    bucket.m_tokens +=
        ToSeconds(now - bucket.m_filled) * workspace.m_rate * part;
  }
  bucket.m_filled = now;
  bucket.m_tokens = std::min(bucket.m_tokens, burst);
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

}  // namespace foxtail
