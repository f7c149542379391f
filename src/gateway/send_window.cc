#include "gateway/send_window.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kMinWindow = 0.05;  // requests
constexpr double kMaxWindow = 32;    // requests

// The window shrinks while more than this many requests wait for each slot of
// the server, and grows while fewer than half as many do.
constexpr double kMaxQueuePerSlot = 1.0;

// With each load report, a window below one grows by this factor, and a larger
// one by this many requests.
constexpr double kGrowthFactor = 1.4;
constexpr double kGrowthStep = 0.5;

// A single report multiplies the window by no less than this factor, because
// other gateways see the same queue and shrink their windows too.
constexpr double kMinShrinkFactor = 0.5;
constexpr double kRefusalShrinkFactor = 0.6;

}  // namespace

double AdaptiveWindow::Size() const {
  return m_window;
}

void AdaptiveWindow::OnLoadReport(const LoadReport& load) {
  const double slots = load.m_slots;
  const double queue = load.m_waiting / slots;
  if (queue > kMaxQueuePerSlot) {
    const double target = slots * (1 + kMaxQueuePerSlot / 2);
    const double current = load.m_running + load.m_waiting;
    m_window *= std::max(kMinShrinkFactor, target / current);
  } else if (queue < kMaxQueuePerSlot / 2) {
    m_window = m_window < 1 ? m_window * kGrowthFactor : m_window + kGrowthStep;
  }
  m_window = std::clamp(m_window, kMinWindow, kMaxWindow);
}

void AdaptiveWindow::OnRefusal() {
  m_window = std::max(kMinWindow, m_window * kRefusalShrinkFactor);
}

}  // namespace foxtail
