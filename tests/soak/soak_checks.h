#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// The run of a request, as the server recorded it.
struct SoakRun {
  TimePoint m_started_at;
  std::string m_server;
  std::string m_request;

  /// Key; -1 for a service that is not sharded.
  int m_key = -1;
  uint64_t m_fence = 0;
  bool m_received_api_key = false;
  std::string m_workspace;
};

/// A request and its response, as the client saw them.
struct SoakExchange {
  std::string m_request;
  bool m_idempotent = false;
  std::string m_api_key;
  TimePoint m_sent_at;

  /// HTTP status; 0 when the connection ended without a response.
  int m_status = 0;
  std::string m_body;
};

/// An API key that the operator withdrew, and when the store acknowledged the
/// withdrawal.
struct SoakWithdrawal {
  std::string m_api_key;
  TimePoint m_acknowledged_at;
};

/// Reads the records of all servers in the folder.
std::vector<SoakRun> ReadSoakRuns(const std::string& folder);

/// Returns a line for each violated guarantee. All times are readings of the
/// machine's clock, which all processes share.
std::vector<std::string> FindViolations(
    std::vector<SoakRun> runs,
    const std::vector<SoakExchange>& exchanges,
    const std::vector<SoakWithdrawal>& withdrawals);

}  // namespace foxtail
