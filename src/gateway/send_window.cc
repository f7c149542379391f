#include "gateway/send_window.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kSmallest = 0.05;  // requests
constexpr double kLargest = 32;     // requests

// The window shrinks while more than this many requests wait for each slot of
// the server, and grows while fewer than half as many do.
constexpr double kLongQueue = 1.0;

// Below one, the window grows by this factor with an answer, above by this many
// requests.
constexpr double kGrowthFactor = 1.4;
constexpr double kGrowth = 0.5;

// One report does not shrink the window further than this: others see the same
// queue and shrink theirs.
constexpr double kLeastFactor = 0.5;
constexpr double kRefusalFactor = 0.6;

}  // namespace

double AdaptiveWindow::Size() const {
  return m_window;
}

void AdaptiveWindow::OnLoad(const LoadReport& load) {
  const double slots = load.m_slots;
  const double queue = load.m_waiting / slots;
  if (queue > kLongQueue) {
    const double wanted = slots * (1 + kLongQueue / 2);
    const double present = load.m_running + load.m_waiting;
    m_window *= std::max(kLeastFactor, wanted / present);
  } else if (queue < kLongQueue / 2) {
    m_window = m_window < 1 ? m_window * kGrowthFactor : m_window + kGrowth;
  }
  m_window = std::clamp(m_window, kSmallest, kLargest);
}

void AdaptiveWindow::OnRefusal() {
  m_window = std::max(kSmallest, m_window * kRefusalFactor);
}

}  // namespace foxtail
