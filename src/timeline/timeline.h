#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// One event as read from a process's log.
struct TimelineEvent {
  /// Wall time of the process that wrote it.
  WallTime m_written_at;

  /// Wall time after the correction of the process's clock.
  WallTime m_corrected_at;
  std::string m_process;
  uint64_t m_sequence = 0;
  int m_number = 0;
  std::string m_name;
  std::map<std::string, std::string> m_fields;
};

/// Which events to show; empty members show all.
struct TimelineFilter {
  std::set<int> m_numbers;

  /// Events in which any field has this value.
  std::string m_value;

  /// Events of this process.
  std::string m_process;
};

/// Reads JSON lines of events; returns how many lines were not understood.
size_t ReadEvents(std::istream& stream, std::vector<TimelineEvent>& events);

/// Orders the events of all processes. Each process's own order is kept, and a
/// clock that shows an effect before its cause is set forward.
void OrderEvents(std::vector<TimelineEvent>& events);

/// Returns whether a filter shows an event.
bool Matches(const TimelineFilter& filter, const TimelineEvent& event);

/// Formats an event as one line; times are relative to `start`.
std::string FormatEvent(const TimelineEvent& event, WallTime start);

}  // namespace foxtail
