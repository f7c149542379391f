#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// A run, as the server recorded it.
struct SoakRun {
  TimePoint m_started_at;
  std::string m_server;
  std::string m_request;

  /// -1 for a service that is not divided by keys.
  int m_key = -1;
  uint64_t m_fence = 0;
  bool m_received_api_key = false;
  std::string m_workspace;
};

/// A request, as its client saw it.
struct SoakExchange {
  std::string m_request;
  bool m_idempotent = false;
  std::string m_api_key;
  TimePoint m_sent_at;

  /// 0 when the connection ended without an answer.
  int m_status = 0;
  std::string m_body;
};

/// What the operator withdrew, and when the store had acknowledged it.
struct SoakWithdrawal {
  std::string m_api_key;
  TimePoint m_acknowledged_at;
};

/// Reads the records of all servers in the folder.
std::vector<SoakRun> ReadSoakRuns(const std::string& folder);

/// Returns a line for each violations promise. The clock is that of the
/// machine, which all processes share.
std::vector<std::string> FindViolations(
    std::vector<SoakRun> runs,
    const std::vector<SoakExchange>& exchanges,
    const std::vector<SoakWithdrawal>& withdrawals);

}  // namespace foxtail
