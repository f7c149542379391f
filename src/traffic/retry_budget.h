#pragma once

namespace foxtail {

/// Bounds retries to a fraction of first attempts, so that retries cannot
/// multiply the load on servers that already fail.
class RetryBudget {
 public:
  /// `ratio`: retries earned by each first attempt. `reserve`: maximum number
  /// of unused retries, and the number at the start.
  RetryBudget(double ratio, double reserve);

  /// Records a first attempt.
  void OnRequest();

  /// Consumes one retry if the budget has one. Returns whether it had.
  bool TryRetry();

 private:
  double m_ratio;
  double m_reserve;
  double m_tokens;
};

}  // namespace foxtail
