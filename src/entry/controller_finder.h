#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// Finds which control process holds a cell, from answers and failures.
class ControllerFinder {
 public:
  /// `control_processes` are all control processes; at least one.
  explicit ControllerFinder(std::vector<std::string> control_processes);

  /// Address to ask next.
  const std::string& GetCurrent() const { return m_current; }

  /// The current process did not answer; it is left out for a while.
  void OnNoResponse(TimePoint now);

  /// The current process is not the holder; `hint` may name who is.
  void OnNotController(const std::string& hint, TimePoint now);

  /// Returns whether all processes were asked since the last call that returned
  /// true, so that a pause is due.
  bool TakeBackoff();

 private:
  bool IsAvoided(const std::string& address, TimePoint now) const;
  void SelectNext(TimePoint now);

  std::vector<std::string> m_control_processes;
  std::string m_current;
  size_t m_index = 0;
  size_t m_tried = 0;
  std::map<std::string, TimePoint> m_avoid_until;
};

}  // namespace foxtail
