#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace foxtail {

/// Signals the work on one request that its client no longer waits for the
/// response. Used by one thread only.
class Cancellation {
 public:
  /// Runs the action of the innermost `CancellationScope`. Further calls have
  /// no effect.
  void Cancel() {
    if (std::exchange(m_cancelled, true)) {
      return;
    }
    if (m_action) {
      m_action();
    }
  }

  bool IsCancelled() const { return m_cancelled; }

 private:
  friend class CancellationScope;

  bool m_cancelled = false;
  std::function<void()> m_action;
};

/// Sets the action that `Cancellation::Cancel` runs during the lifetime of the
/// scope, and restores the previous action at its end. `cancellation` may be
/// null.
class CancellationScope {
 public:
  CancellationScope(std::shared_ptr<Cancellation> cancellation,
                    std::function<void()> action)
      : m_cancellation(std::move(cancellation)) {
    if (m_cancellation) {
      m_previous = std::exchange(m_cancellation->m_action, std::move(action));
    }
  }

  ~CancellationScope() {
    if (m_cancellation) {
      m_cancellation->m_action = std::move(m_previous);
    }
  }

  CancellationScope(const CancellationScope&) = delete;
  CancellationScope& operator=(const CancellationScope&) = delete;

 private:
  std::shared_ptr<Cancellation> m_cancellation;
  std::function<void()> m_previous;
};

}  // namespace foxtail
