#pragma once

#include <cstdint>
#include <optional>

namespace foxtail {

/// The load that a backend server reports with a response, in requests.
struct LoadReport {
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 1;

  /// Current processing time on the server's machine relative to the usual
  /// time; absent if the server does not report it.
  std::optional<double> m_slowdown;
};

}  // namespace foxtail
