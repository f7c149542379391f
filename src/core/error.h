#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace foxtail {

/// Whether a request ran at its backend server, as far as known.
enum class Execution {
  kNotRun,
  kRan,
  kUnknown,
};

/// Every kind of error that the project reports. A test compares docs/ERRORS.md
/// with the table of errors.
enum class ErrorCode {
  kApiKeyMissing,
  kApiKeyUnknown,
  kWorkspaceNotAllowed,
  kRouteUnknown,
  kRouteUnusable,
  kPartitionKeyMissing,
  kPartitionNotServed,
  kRateExceeded,
  kRequestMalformed,
  kRequestTooLarge,
  kHeaderTooLarge,
  kRequestIdMalformed,
  kRequestDuplicate,
  kRequestUnverifiable,
  kRequestQuarantined,
  kServerQueueFull,
  kServerRefused,
  kServerLost,
  kDeadlineExceeded,
  kAccessStale,
  kConfigurationUnknown,
  kAnswerInvalid,
  kServerSaturated,
  kHostOverloaded,
  kClientLeft,
  kDispatcherLost,
  kNotDispatcher,
  kStopping,
  kSettingInvalid,
  kIntentInvalid,
  kPlanStale,
  kPlanUnknown,
  kPlatformUnavailable,
  kPlatformConflict,
  kNotController,
  kClusterSecretWrong,
  kMessageMalformed,
  kNetwork,
  kInternal,
};

/// Static properties of an error code.
struct ErrorInfo {
  ErrorCode m_code;
  std::string_view m_name;
  int m_http_status;
  Execution m_execution;
  std::string_view m_brief;
};

/// Returns the properties of a code.
const ErrorInfo& InfoOf(ErrorCode code);

/// Returns the properties of all codes, in the order of the enumeration.
std::span<const ErrorInfo> AllErrors();

/// Finds a code by its name; returns `kInternal` when there is none.
ErrorCode ErrorCodeFromName(std::string_view name);

/// Returns "not_run", "ran" or "unknown".
std::string_view NameOf(Execution execution);

/// Base class of all exceptions of the project.
class Error : public std::runtime_error {
 public:
  /// `detail` names the affected object and must not hold a secret.
  explicit Error(ErrorCode code, const std::string& detail = "");

  /// As above, with an execution state that overrides the code's default.
  Error(ErrorCode code, Execution execution, const std::string& detail);

  ErrorCode GetCode() const { return m_code; }
  Execution GetExecution() const { return m_execution; }
  const std::string& GetDetail() const { return m_detail; }

 private:
  ErrorCode m_code;
  Execution m_execution;
  std::string m_detail;
};

}  // namespace foxtail
