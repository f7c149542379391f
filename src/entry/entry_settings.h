#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

#include "core/settings.h"

namespace foxtail {

/// Settings of `foxtail-entry`.
struct EntrySettings {
  /// Address that clients connect to.
  std::string m_listen = "127.0.0.1:8080";

  /// Address of the first traffic thread for other entries. Thread N listens on
  /// this port plus N.
  std::string m_internal = "127.0.0.1:8180";

  /// Addresses of the control processes, "IP:PORT" separated by commas.
  std::string m_control = "127.0.0.1:8280";

  /// Data centre of this host.
  std::string m_data_centre = "local";

  /// Shared secret with which the project's processes authenticate each other.
  std::string m_cluster_secret;

  /// File that events are logged to; empty means standard error.
  std::string m_log_file;

  /// Number of traffic threads.
  uint32_t m_threads = 1;

  /// Maximum size of a request body, in KiB.
  uint32_t m_body_limit_kib = 1024;

  /// Maximum number of client connections per thread.
  uint32_t m_connection_limit = 4096;

  /// Maximum time for a client to send one request.
  std::chrono::milliseconds m_read_timeout{10'000};

  /// Age of the API key data after which requests are refused.
  std::chrono::milliseconds m_access_lifetime{2000};

  /// Maximum time a request waits for a token before it is refused.
  std::chrono::milliseconds m_token_wait{60};

  /// Delay between failing health checks and releasing the leases, in a
  /// graceful shutdown.
  std::chrono::milliseconds m_stop_delay{500};

  /// Maximum time a graceful shutdown waits for requests in progress.
  std::chrono::milliseconds m_stop_timeout{10'000};

  /// "fair" or "fifo": order in which waiting requests receive slots.
  std::string m_queue = "fair";

  /// "ramp" or "fixed": concurrency limit of a cold server.
  std::string m_limit = "ramp";

  /// "demand" or "fixed": strategy for the stock of tokens.
  std::string m_share = "demand";
};

/// The settings table of `foxtail-entry`.
std::span<const SettingRow<EntrySettings>> EntrySettingRows();

}  // namespace foxtail
