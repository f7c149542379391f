#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gateway/cluster_records.h"

namespace foxtail {

/// A backend server whose registration in a copy of the store is out of date.
struct PastServer {
  std::string m_id;

  /// The newest incarnation that is known to have left or to be draining.
  int64_t m_incarnation = 0;

  /// The server is draining; otherwise it has left.
  bool m_draining = false;
};

/// Datagram from a process that has started in a later era of the store: asks a
/// member for what was in force before the store came back.
struct HistoryRequest {
  /// IP:PORT that receives the response.
  std::string m_address;

  /// A version of the era in which the sender has started.
  uint64_t m_era_version = 0;
};

/// Datagram in response to a request, from a member that has run through the
/// change of the era or has been told by one.
struct HistoryResponse {
  /// A version of the sender's era.
  uint64_t m_era_version = 0;

  /// The newest version of the configuration that is known to have been in
  /// force.
  uint64_t m_configuration = 0;

  /// The sender has read the tables in its era. The rest is set only then.
  bool m_complete = false;

  /// Newest row of each watched table that may be of the copy.
  std::array<uint64_t, kWatchedKinds> m_copy_versions{};

  /// For how long the operators' rows of the copy do not count, milliseconds,
  /// and the data centres that are evacuated, or not, in spite of them.
  uint32_t m_operator_rows_kept_ms = 0;
  std::vector<std::pair<std::string, bool>> m_kept_evacuations;

  std::vector<PastServer> m_past_servers;
};

}  // namespace foxtail
