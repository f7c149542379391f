#pragma once

#include <chrono>
#include <cstdint>

namespace foxtail {

/// Times and limits of the control systems.
struct ControlSettings {
  /// Time a holder may act after it sent a renewal that succeeded.
  std::chrono::milliseconds m_lease_ttl{700};

  /// Time a standby must see the lease row unchanged before it takes over;
  /// longer than `m_lease_ttl` by more than the clocks' drift in it.
  std::chrono::milliseconds m_takeover_delay{740};

  /// Time between renewals.
  std::chrono::milliseconds m_lease_renew_period{230};

  /// Time between the first standby's reads of the lease row; the next ones
  /// read it less often.
  std::chrono::milliseconds m_watch_period{150};

  /// Time between reads of the lease row by processes that are no standbys.
  std::chrono::milliseconds m_non_standby_watch_period{1000};

  /// Longest time a holder goes on with promises instead of renewals. A process
  /// that is no standby waits this long before it takes over.
  std::chrono::milliseconds m_extension_limit{3'600'000};

  /// Life of one promise.
  std::chrono::milliseconds m_promise_ttl{1000};

  /// Standbys named in the lease row.
  uint32_t m_standby_count = 2;

  /// Life of a dispatch lease, counted from when it was granted.
  std::chrono::milliseconds m_dispatch_lease_ttl{1200};

  /// Longest time a dispatch lease outlasts its controller's authority.
  std::chrono::milliseconds m_max_dispatch_lease_overrun{700};

  /// Longest time a sync request waits for news.
  std::chrono::milliseconds m_sync_poll_timeout{200};

  /// A dispatcher that was silent for longer is replaced.
  std::chrono::milliseconds m_dispatcher_silence_timeout{350};

  /// Life of a grant at a backend server.
  std::chrono::milliseconds m_grant_ttl{1000};

  /// Time between renewals of a grant.
  std::chrono::milliseconds m_grant_renew_period{300};

  /// Time between probes of a backend server.
  std::chrono::milliseconds m_probe_period{200};

  /// Failed probes in a row after which a backend server counts as lost.
  uint32_t m_max_probe_failures = 3;

  /// Time between reads of the configuration's version.
  std::chrono::milliseconds m_config_poll_period{500};

  /// Largest difference between the rates of two hosts' steady clocks, as a
  /// fraction.
  double m_clock_drift = 0.01;

  /// Largest difference between two hosts' wall clocks.
  std::chrono::milliseconds m_wall_skew{50};

  /// How far ahead of an entry's wall clock a request id may be issued.
  std::chrono::milliseconds m_id_ahead{250};

  /// Life of tokens that were handed out.
  std::chrono::milliseconds m_token_ttl{1000};

  /// How long request ids and crash suspects are remembered.
  std::chrono::milliseconds m_retention{60'000};

  /// Crashes with no other request in flight that condemn a request.
  uint32_t m_quarantine_crashes = 2;

  /// Moves that one receiving server may have in progress.
  uint32_t m_max_moves_per_receiver = 4;

  /// Load of a server relative to the mean that makes it give up a partition.
  double m_overload_ratio = 1.3;

  /// Shortest time between two load-driven moves of a cell.
  std::chrono::milliseconds m_rebalance_period{1000};

  /// Shortest time a partition stays before it moves again for load.
  std::chrono::milliseconds m_move_cooldown{10'000};
};

}  // namespace foxtail
