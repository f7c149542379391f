#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace foxtail {

/// Tells work on one request that nobody waits for its answer any more. Belongs
/// to one thread.
class Cancellation {
 public:
  /// Runs the action of the current scope, once.
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

/// Sets the action of a cancellation for the lifetime of the scope. Accepts a
/// null cancellation.
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
