#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// A run, as the server recorded it.
struct SoakRun {
  TimePoint m_at;
  std::string m_server;
  std::string m_request;

  /// -1 for a service that is not divided by keys.
  int m_key = -1;
  uint64_t m_fence = 0;
  bool m_saw_api_key = false;
  std::string m_workspace;
};

/// A request, as its client saw it.
struct SoakOutcome {
  std::string m_request;
  bool m_idempotent = false;
  std::string m_api_key;
  TimePoint m_sent;

  /// 0 when the connection ended without an answer.
  int m_status = 0;
  std::string m_body;
};

/// What the operator withdrew, and when the store had acknowledged it.
struct SoakWithdrawal {
  std::string m_api_key;
  TimePoint m_at;
};

/// Reads the records of all servers in the folder.
std::vector<SoakRun> ReadSoakRuns(const std::string& folder);

/// Returns a line for each broken promise. The clock is that of the machine,
/// which all processes share.
std::vector<std::string> FindBrokenPromises(
    std::vector<SoakRun> runs,
    const std::vector<SoakOutcome>& outcomes,
    const std::vector<SoakWithdrawal>& withdrawals);

}  // namespace foxtail
