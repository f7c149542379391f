#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace spdlog {
class logger;
}  // namespace spdlog

namespace foxtail {

class NonBlockingSink;

/// Number of an event. A test compares docs/EVENTS.md with the catalogue.
enum class EventNumber {
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kSettingsKept = 103,
  kAddressInUse = 104,
  kTrafficThreadStalled = 105,
  kTrafficThreadResumed = 106,
  kControlLeaseAcquired = 200,
  kControlLeaseLost = 201,
  kControlLeaseExtended = 202,
  kControlLeaseReleased = 203,
  kPromiseGiven = 204,
  kPlatformUnreachable = 210,
  kPlatformReachable = 211,
  kAssignmentRecorded = 300,
  kPartitionMoveStarted = 301,
  kPartitionMoveFinished = 302,
  kPartitionsMoving = 303,
  kPartitionsMoved = 304,
  kOwnersTakenOver = 305,
  kServerDown = 310,
  kServerUp = 311,
  kServerCold = 312,
  kServerUnlisted = 313,
  kServerDraining = 314,
  kServerReplaced = 315,
  kRegistrationHeld = 316,
  kDispatcherAppointed = 320,
  kDispatcherLapsed = 321,
  kOrderFailed = 330,
  kOutageHolds = 331,
  kStoreEraChanged = 332,
  kStoreHistoryKnown = 333,
  kStoreHistoryUnknown = 334,
  kEvacuationChanged = 340,
  kTokensIssued = 350,
  kRolloutStep = 360,
  kRolloutEnded = 361,
  kPlanMade = 400,
  kPlanConfirmed = 401,
  kPlanAbandoned = 402,
  kConfigurationInForce = 403,
  kRowUnreadable = 404,
  kDirectoryRead = 405,
  kRoutesUnusable = 406,
  kConfigurationWithheld = 407,
  kDispatchLeaseTaken = 500,
  kDispatchLeaseReleased = 501,
  kRequestRefused = 510,
  kRequestUnknown = 511,
  kRequestRetried = 512,
  kEventsSuppressed = 513,
  kTrafficSummary = 514,
  kAdmissionSummary = 515,
  kPermitSummary = 516,
  kResourcesShort = 517,
  kRequestSuspected = 520,
  kRequestCondemned = 521,
  kAccessStale = 530,
  kInternalFailure = 900,
};

/// Static properties of an event. `m_fields` holds the names of its fields,
/// separated by spaces.
struct EventInfo {
  EventNumber m_number;
  std::string_view m_name;
  std::string_view m_fields;
  std::string_view m_brief;
};

/// Returns the whole catalogue in numeric order.
std::span<const EventInfo> EventCatalogue();

/// A named value of an event.
struct EventField {
  std::string_view m_name;
  std::variant<int64_t, std::string> m_value;

  EventField(std::string_view name, std::string value)
      : m_name(name), m_value(std::move(value)) {}
  template <typename Integer>
  requires std::is_integral_v<Integer> EventField(std::string_view name,
                                                  Integer value)
      : m_name(name), m_value(static_cast<int64_t>(value)) {}
};

/// Writes the events of one process as JSON lines, with wall time and sequence
/// number. Never waits for a reader of standard output or standard error.
/// Thread-safe.
class EventLog {
 public:
  /// `process` is the name of the process in merged logs. `path` is a file to
  /// append to; empty means standard error, "-" standard output. Throws
  /// `Error(kSettingInvalid)` when the file cannot be opened.
  EventLog(std::string process, const std::string& path);
  ~EventLog();

  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Writes one event. Field values must not hold secrets.
  void Write(EventNumber number, const std::vector<EventField>& fields);

 private:
  void WriteLine(EventNumber number, const std::vector<EventField>& fields);

  std::string m_process;
  std::shared_ptr<spdlog::logger> m_logger;

  /// Null if the log is a file that this process has opened.
  std::shared_ptr<NonBlockingSink> m_output;
  std::atomic<uint64_t> m_sequence = 0;
};

}  // namespace foxtail
