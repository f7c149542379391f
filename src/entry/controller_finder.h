#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// Finds the control process that controls a cell, based on responses and
/// failures.
class ControllerFinder {
 public:
  /// `control_processes`: addresses of all control processes; at least one.
  explicit ControllerFinder(std::vector<std::string> control_processes);

  /// Returns the address to send the next request to.
  const std::string& GetCurrent() const { return m_current; }

  /// Records that the current process did not respond. It is avoided for a
  /// while.
  void OnNoResponse(TimePoint now);

  /// Records that the current process does not control the cell. `hint` may be
  /// the address of the process that does.
  void OnNotController(const std::string& hint, TimePoint now);

  /// Returns whether as many attempts as there are processes were made since
  /// the last call that returned true, so that a backoff is due.
  bool TakeBackoff();

 private:
  bool IsAvoided(const std::string& address, TimePoint now) const;
  void SelectNext(TimePoint now);

  std::vector<std::string> m_control_processes;
  std::string m_current;
  size_t m_index = 0;

  /// Attempts since the last backoff.
  size_t m_tried = 0;
  std::map<std::string, TimePoint> m_avoid_until;
};

}  // namespace foxtail
