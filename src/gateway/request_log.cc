#include "gateway/request_log.h"

#include <algorithm>
#include <numeric>

namespace foxtail {
namespace {

// Limit for each kind of event. At this limit, ten hosts under the highest load
// write about 2 MB of log a minute.
constexpr uint32_t kMaxEventsPerWindow = 10;
constexpr std::chrono::seconds kWindow{1};

// Limit on the services and priorities that one summary of permits names.
constexpr size_t kMaxLoggedClasses = 20;

std::vector<EventField> BuildFields(const RequestLogEntry& entry) {
  return {{"request", entry.m_request_id}, {"workspace", entry.m_workspace},
          {"service", entry.m_service},    {"server", entry.m_server},
          {"attempt", entry.m_attempts},   {"age_ms", entry.m_age.count()},
          {"version", entry.m_version}};
}

}  // namespace

bool RequestLog::AllowEvent(const std::string& kind) {
  const TimePoint now = Clock::now();
  if (now - m_window_started_at >= kWindow) {
    m_window_started_at = now;
    for (auto& [name, counts] : m_counts_by_kind) {
      if (counts.m_suppressed > 0) {
        m_events.Write(EventNumber::kEventsSuppressed,
                       {{"kind", name}, {"count", counts.m_suppressed}});
      }
    }
    m_counts_by_kind.clear();
  }
  EventCounts& counts = m_counts_by_kind[kind];
  if (counts.m_written >= kMaxEventsPerWindow) {
    ++counts.m_suppressed;
    return false;
  }
  ++counts.m_written;
  return true;
}

void RequestLog::LogFailure(const RequestLogEntry& entry, const Error& error) {
  const bool not_run = error.GetExecution() == Execution::kNotRun;
  ++(not_run ? m_refused : m_failed);
  const EventNumber number =
      not_run ? EventNumber::kRequestRefused : EventNumber::kRequestUnknown;
  const std::string name(InfoOf(error.GetCode()).m_name);
  if (!AllowEvent(name)) {
    return;
  }
  std::vector<EventField> fields = BuildFields(entry);
  fields.emplace_back("error", name);
  m_events.Write(number, fields);
}

void RequestLog::LogRetry(const RequestLogEntry& entry,
                          const std::string& reason) {
  if (!AllowEvent("request_retried")) {
    return;
  }
  std::vector<EventField> fields = BuildFields(entry);
  fields.emplace_back("reason", reason);
  m_events.Write(EventNumber::kRequestRetried, fields);
}

void RequestLog::LogAdmissions(
    const std::map<std::string, AdmissionCounts>& counts) {
  size_t logged = 0;
  size_t suppressed = 0;
  for (const auto& [workspace, outcomes] : counts) {
    const uint64_t total =
        std::accumulate(outcomes.begin(), outcomes.end(), uint64_t{0});
    const size_t leader_token =
        static_cast<size_t>(AdmissionOutcome::kLeaderToken);
    if (total == outcomes[leader_token]) {
      continue;
    }
    if (logged >= kMaxLoggedWorkspaces) {
      ++suppressed;
      continue;
    }
    ++logged;
    std::vector<EventField> fields = {{"workspace", workspace}};
    for (size_t i = 0; i < outcomes.size(); ++i) {
      fields.emplace_back(NameOf(static_cast<AdmissionOutcome>(i)),
                          outcomes[i]);
    }
    m_events.Write(EventNumber::kAdmissionSummary, fields);
  }
  if (suppressed > 0) {
    m_events.Write(EventNumber::kEventsSuppressed,
                   {{"kind", "admission_summary"}, {"count", suppressed}});
  }
}

void RequestLog::LogPermits(const std::vector<PermitCounts>& counts) {
  size_t logged = 0;
  for (const PermitCounts& of_class : counts) {
    const uint64_t refused =
        of_class.m_refused_at_arrival + of_class.m_refused_later;
    if (refused + of_class.m_abandoned + of_class.m_refused_by_server == 0) {
      continue;
    }
    if (++logged > kMaxLoggedClasses) {
      continue;
    }
    const auto waited =
        of_class.m_waited /
        std::max<int64_t>(1, static_cast<int64_t>(of_class.m_granted));
    m_events.Write(
        EventNumber::kPermitSummary,
        {{"service", of_class.m_service},
         {"priority", of_class.m_priority},
         {"granted", of_class.m_granted},
         {"waited_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(waited)
              .count()},
         {"refused_at_arrival", of_class.m_refused_at_arrival},
         {"refused_later", of_class.m_refused_later},
         {"abandoned", of_class.m_abandoned},
         {"refused_by_server", of_class.m_refused_by_server}});
  }
  if (logged > kMaxLoggedClasses) {
    m_events.Write(
        EventNumber::kEventsSuppressed,
        {{"kind", "permit_summary"}, {"count", logged - kMaxLoggedClasses}});
  }
}

void RequestLog::LogSummary(size_t in_flight,
                            std::chrono::milliseconds configuration_age,
                            uint64_t version) {
  m_events.Write(EventNumber::kTrafficSummary,
                 {{"requests", m_requests},
                  {"served", m_served},
                  {"refused", m_refused},
                  {"failed", m_failed},
                  {"in_flight", in_flight},
                  {"configuration_age_ms", configuration_age.count()},
                  {"version", version}});
  m_requests = m_served = m_refused = m_failed = 0;
}

}  // namespace foxtail
