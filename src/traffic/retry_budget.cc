#include "traffic/retry_budget.h"

#include <algorithm>

namespace foxtail {

RetryBudget::RetryBudget(double ratio, double reserve)
    : m_ratio(ratio), m_reserve(reserve), m_tokens(reserve) {}

void RetryBudget::OnRequest() {
  m_tokens = std::min(m_reserve, m_tokens + m_ratio);
}

bool RetryBudget::TryRetry() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace foxtail
