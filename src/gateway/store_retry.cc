#include "gateway/store_retry.h"

#include <algorithm>

namespace foxtail {
namespace {

// Doublings after which the delay has reached any sensible limit.
constexpr int kMaxDoublings = 10;

// The delays of one host vary by this fraction to either side.
constexpr double kJitter = 0.3;

}  // namespace

StoreRetry::StoreRetry(const StoreRetrySettings& settings, uint32_t seed)
    : m_settings(settings), m_random(seed) {}

Duration StoreRetry::NextDelay() {
  const int doublings = std::clamp(m_failures - 1, 0, kMaxDoublings);
  const Duration delay = std::min(m_settings.m_max_delay,
                                  m_settings.m_first_delay * (1 << doublings));
  std::uniform_real_distribution<double> factor(1 - kJitter, 1 + kJitter);
  return FromSeconds(ToSeconds(delay) * factor(m_random));
}

bool StoreRetry::TakeTry(TimePoint now) {
  if (!IsFailing()) {
    return true;
  }
  if (now < m_next_try_at) {
    return false;
  }
  m_next_try_at = now + NextDelay();
  return true;
}

void StoreRetry::OnFailure(TimePoint now) {
  ++m_failures;
  m_next_try_at = now + NextDelay();
}

void StoreRetry::OnSuccess() {
  m_failures = 0;
  m_next_try_at = TimePoint();
}

}  // namespace foxtail
