#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// One event that was read from the log of a process.
struct TimelineEvent {
  /// Wall time by the clock of the process that wrote the event.
  WallTime m_written_at;

  /// Wall time after the correction of that clock.
  WallTime m_corrected_at;
  std::string m_process;
  uint64_t m_sequence = 0;
  int m_number = 0;
  std::string m_name;
  std::map<std::string, std::string> m_fields;
};

/// Selects the events to show. An empty member selects all events.
struct TimelineFilter {
  std::set<int> m_numbers;

  /// Selects events in which any field has this value.
  std::string m_field_value;

  /// Selects events of this process.
  std::string m_process;
};

/// Reads events, one JSON object a line, and appends them to `events`. Returns
/// the number of lines that are not events.
size_t ReadEvents(std::istream& stream, std::vector<TimelineEvent>& events);

/// Sorts the events of all processes by corrected time, then by process and
/// sequence number. The clock of a process that shows an effect before its
/// cause is set forward.
void OrderEvents(std::vector<TimelineEvent>& events);

/// Returns whether the filter selects the event.
bool Matches(const TimelineFilter& filter, const TimelineEvent& event);

/// Formats an event as one line, with its time relative to `start`.
std::string FormatEvent(const TimelineEvent& event, WallTime start);

}  // namespace foxtail
