#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/error.h"
#include "core/event.h"
#include "core/time.h"
#include "gateway/rate_admission.h"
#include "scheduling/permit_scheduler.h"

namespace foxtail {

/// The fields that are logged about one request.
struct RequestLogEntry {
  std::string m_request_id;
  std::string m_workspace;
  std::string m_service;

  /// Backend server of the last attempt, empty if there was none.
  std::string m_server;
  uint32_t m_attempts = 0;

  /// Time since the request arrived.
  std::chrono::milliseconds m_age{};

  /// Version of the configuration in force when the event is logged.
  uint64_t m_version = 0;
};

/// Writes the events of one traffic thread's requests at a limited rate.
/// Suppressed events are counted by kind, and the counts are logged later.
class RequestLog {
 public:
  explicit RequestLog(EventLog& events) : m_events(events) {}

  /// Logs and counts a request that failed or was refused.
  void LogFailure(const RequestLogEntry& entry, const Error& error);

  /// Logs a retry of a request.
  void LogRetry(const RequestLogEntry& entry, const std::string& reason);

  /// Logs how requests for admission ended, for the workspaces that the
  /// leader's tokens did not suffice for.
  void LogAdmissions(const std::map<std::string, AdmissionCounts>& counts);

  /// Logs what became of the requests for permits of this host's servers, for
  /// the services and priorities in which some were refused or abandoned.
  void LogPermits(const std::vector<PermitCounts>& counts);

  void CountRequest() { ++m_requests; }
  void CountServed() { ++m_served; }

  /// Logs the request counts since the last summary and resets them.
  void LogSummary(size_t in_flight,
                  std::chrono::milliseconds configuration_age,
                  uint64_t version);

 private:
  bool AllowEvent(const std::string& kind);

  struct EventCounts {
    uint32_t m_written = 0;
    uint64_t m_suppressed = 0;
  };

  EventLog& m_events;
  std::map<std::string, EventCounts> m_counts_by_kind;
  TimePoint m_window_started_at;
  uint64_t m_requests = 0;
  uint64_t m_served = 0;
  uint64_t m_refused = 0;
  uint64_t m_failed = 0;
};

}  // namespace foxtail
