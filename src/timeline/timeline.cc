#include "timeline/timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/event.h"
#include "core/json.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// An effect that can only happen after its cause. The two events have the same
// value in a field.
struct CausalityRule {
  EventNumber m_cause;
  EventNumber m_effect;
  const char* m_field;
};

constexpr std::array kCausalityRules = {
    CausalityRule{EventNumber::kPlanMade, EventNumber::kPlanConfirmed, "plan"},
    CausalityRule{EventNumber::kPlanConfirmed,
                  EventNumber::kConfigurationInForce, "version"},
};

std::string TextOf(const Json::Value& value) {
  return value.isString() ? value.asString() : JsonText(value);
}

bool ParseEvent(const std::string& line, TimelineEvent& event) {
  Json::Value value;
  if (!TryParseJson(line, value) || !value.isObject() ||
      !value["time_ms"].isInt64() || !value["process"].isString() ||
      !value["number"].isInt() || !value["event"].isString()) {
    return false;
  }
  event.m_written_at = WallTime(milliseconds(value["time_ms"].asInt64()));
  event.m_corrected_at = event.m_written_at;
  event.m_process = value["process"].asString();
  event.m_sequence = value["sequence"].asUInt64();
  event.m_number = value["number"].asInt();
  event.m_name = value["event"].asString();
  for (const std::string& name : value.getMemberNames()) {
    event.m_fields[name] = TextOf(value[name]);
  }
  for (const char* name :
       {"time_ms", "process", "sequence", "number", "event"}) {
    event.m_fields.erase(name);
  }
  return true;
}

// Returns how far the clock of each process must be set forward so that no
// effect precedes its cause.
std::map<std::string, milliseconds> ClockCorrections(
    const std::vector<TimelineEvent>& events) {
  std::map<std::string, milliseconds> corrections;
  for (const CausalityRule& rule : kCausalityRules) {
    std::map<std::string, const TimelineEvent*> causes;
    for (const TimelineEvent& event : events) {
      if (event.m_number == static_cast<int>(rule.m_cause)) {
        causes[event.m_fields.at(rule.m_field)] = &event;
      }
    }
    for (const TimelineEvent& event : events) {
      const auto field = event.m_fields.find(rule.m_field);
      if (event.m_number != static_cast<int>(rule.m_effect) ||
          field == event.m_fields.end()) {
        continue;
      }
      const auto cause = causes.find(field->second);
      if (cause != causes.end() &&
          cause->second->m_process != event.m_process) {
        milliseconds& correction = corrections[event.m_process];
        correction = std::max(
            correction, cause->second->m_corrected_at - event.m_written_at);
      }
    }
  }
  return corrections;
}

}  // namespace

size_t ReadEvents(std::istream& stream, std::vector<TimelineEvent>& events) {
  size_t skipped_lines = 0;
  for (std::string line; std::getline(stream, line);) {
    TimelineEvent event;
    if (ParseEvent(line, event)) {
      events.push_back(std::move(event));
    } else {
      ++skipped_lines;
    }
  }
  return skipped_lines;
}

void OrderEvents(std::vector<TimelineEvent>& events) {
  const auto corrections = ClockCorrections(events);
  for (TimelineEvent& event : events) {
    const auto found = corrections.find(event.m_process);
    if (found != corrections.end()) {
      event.m_corrected_at = event.m_written_at + found->second;
    }
  }
  std::ranges::sort(events, {}, [](const TimelineEvent& event) {
    return std::tuple(event.m_corrected_at, event.m_process, event.m_sequence);
  });
}

bool Matches(const TimelineFilter& filter, const TimelineEvent& event) {
  if (!filter.m_numbers.empty() && !filter.m_numbers.contains(event.m_number)) {
    return false;
  }
  if (!filter.m_process.empty() && filter.m_process != event.m_process) {
    return false;
  }
  return filter.m_field_value.empty() ||
         std::ranges::any_of(event.m_fields, [&](const auto& field) {
           return field.second == filter.m_field_value;
         });
}

std::string FormatEvent(const TimelineEvent& event, WallTime start) {
  std::string fields;
  for (const auto& [name, value] : event.m_fields) {
    fields += fmt::format(" {}={}", name, value);
  }
  const milliseconds offset = event.m_corrected_at - start;
  return fmt::format("{:>10.3f}s  {:<28} {:>3} {}{}",
                     static_cast<double>(offset.count()) / 1000,
                     event.m_process, event.m_number, event.m_name, fields);
}

}  // namespace foxtail
