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

  /// The platform's table service.
  std::string m_platform = "127.0.0.1:8380";

  /// Data centre this host stands in.
  std::string m_data_centre = "local";

  /// Secret that the project's own processes and operators show.
  std::string m_cluster_secret;

  /// File for events; empty means standard error.
  std::string m_log_file;

  /// Longest time a call to the platform may take.
  std::chrono::milliseconds m_platform_timeout{250};

  /// Longest time a probe or grant may take.
  std::chrono::milliseconds m_server_timeout{150};

  /// Longest time a planned stop waits for leases to be given back.
  std::chrono::milliseconds m_stop_timeout{5000};

  /// "bounded" or "rendezvous": how owners of partitions are chosen.
  std::string m_placement = "bounded";

  /// Life of the control lease after a renewal was sent.
  std::chrono::milliseconds m_lease_ttl{700};

  /// Time an unchanged lease row is watched before a takeover.
  std::chrono::milliseconds m_takeover_delay{740};
};

/// The settings table of `foxtail-control`.
std::span<const SettingRow<DaemonSettings>> DaemonSettingRows();

}  // namespace foxtail
