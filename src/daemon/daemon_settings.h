#pragma once

#include <chrono>
#include <span>
#include <string>

#include "core/settings.h"

namespace foxtail {

/// Settings of `foxtail-control`.
struct DaemonSettings {
  /// Address for entries, operators and other control processes.
  std::string m_listen = "127.0.0.1:8280";

  /// All control processes, "IP:PORT" separated by commas.
  std::string m_peers = "127.0.0.1:8280";

  /// Address of the platform's table service.
  std::string m_platform = "127.0.0.1:8380";

  /// Data centre of this host.
  std::string m_data_centre = "local";

  /// Secret that authenticates the project's own processes and operators.
  std::string m_cluster_secret;

  /// File that events are logged to; empty means standard error.
  std::string m_log_file;

  /// Timeout of a call to the platform.
  std::chrono::milliseconds m_platform_timeout{250};

  /// Timeout of a probe or grant call to a backend server.
  std::chrono::milliseconds m_server_timeout{150};

  /// Longest time that a graceful shutdown waits for leases to be released.
  std::chrono::milliseconds m_stop_timeout{5000};

  /// Strategy that chooses the owners of partitions: "bounded" or "rendezvous".
  std::string m_placement = "bounded";

  /// TTL of the control lease, counted from when a renewal was sent.
  std::chrono::milliseconds m_lease_ttl{700};

  /// Time for which a lease row must stay unchanged before a takeover.
  std::chrono::milliseconds m_takeover_delay{740};
};

/// Returns the settings table of `foxtail-control`.
std::span<const SettingRow<DaemonSettings>> DaemonSettingRows();

}  // namespace foxtail
