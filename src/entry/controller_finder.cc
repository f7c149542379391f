#include "entry/controller_finder.h"

#include <algorithm>
#include <cassert>

namespace foxtail {
namespace {

// A process that did not respond is tried again after this time.
constexpr std::chrono::milliseconds kAvoidancePeriod{1500};

}  // namespace

ControllerFinder::ControllerFinder(std::vector<std::string> control_processes)
    : m_control_processes(std::move(control_processes)) {
  assert(!m_control_processes.empty());
  m_current = m_control_processes.front();
}

bool ControllerFinder::IsAvoided(const std::string& address,
                                 TimePoint now) const {
  const auto found = m_avoid_until.find(address);
  return found != m_avoid_until.end() && now < found->second;
}

void ControllerFinder::OnNoResponse(TimePoint now) {
  m_avoid_until[m_current] = now + kAvoidancePeriod;
  SelectNext(now);
}

// Hints are stale just after a process was lost and may still name it, so a
// hint to an avoided process is ignored.
void ControllerFinder::OnNotController(const std::string& hint, TimePoint now) {
  const bool known =
      std::ranges::find(m_control_processes, hint) != m_control_processes.end();
  if (known && hint != m_current && !IsAvoided(hint, now)) {
    m_current = hint;
    ++m_tried;
    return;
  }
  SelectNext(now);
}

void ControllerFinder::SelectNext(TimePoint now) {
  for (size_t i = 0; i < m_control_processes.size(); ++i) {
    m_index = (m_index + 1) % m_control_processes.size();
    ++m_tried;
    if (!IsAvoided(m_control_processes[m_index], now)) {
      break;
    }
  }
  m_current = m_control_processes[m_index];
}

bool ControllerFinder::TakeBackoff() {
  if (m_tried < m_control_processes.size()) {
    return false;
  }
  m_tried = 0;
  return true;
}

}  // namespace foxtail
