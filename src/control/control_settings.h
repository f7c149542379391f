#pragma once

#include <chrono>
#include <cstdint>

namespace foxtail {

/// Times and limits of the control systems.
struct ControlSettings {
  /// TTL of the control lease, counted from when the holder sent a renewal that
  /// succeeded.
  std::chrono::milliseconds m_lease_ttl{700};

  /// Time for which a standby must see the lease row unchanged before it takes
  /// over. Must exceed `m_lease_ttl` by more than the clock drift over that
  /// time.
  std::chrono::milliseconds m_takeover_delay{740};

  /// Period between renewals of the control lease.
  std::chrono::milliseconds m_lease_renew_period{230};

  /// Period between the first standby's reads of the lease row. Standbys
  /// further down the list read the row less often.
  std::chrono::milliseconds m_watch_period{150};

  /// Period between reads of the lease row by processes that are not standbys.
  std::chrono::milliseconds m_non_standby_watch_period{1000};

  /// Maximum time for which promises may replace renewals. A process that is
  /// not a standby waits this long before it takes over.
  std::chrono::milliseconds m_extension_limit{3'600'000};

  /// TTL of a promise.
  std::chrono::milliseconds m_promise_ttl{1000};

  /// Maximum number of standbys named in the lease row.
  uint32_t m_standby_count = 2;

  /// TTL of a dispatch lease, counted from when the lease was granted.
  std::chrono::milliseconds m_dispatch_lease_ttl{1200};

  /// Maximum time by which a dispatch lease outlasts its controller's
  /// authority.
  std::chrono::milliseconds m_max_dispatch_lease_overrun{700};

  /// Maximum time for which a sync request waits for a change.
  std::chrono::milliseconds m_sync_poll_timeout{200};

  /// A dispatcher that was silent for longer than this time is replaced.
  std::chrono::milliseconds m_dispatcher_silence_timeout{350};

  /// TTL of a grant at a backend server.
  std::chrono::milliseconds m_grant_ttl{1000};

  /// Period between renewals of a grant.
  std::chrono::milliseconds m_grant_renew_period{300};

  /// Period between probes of a backend server.
  std::chrono::milliseconds m_probe_period{200};

  /// Consecutive failed probes after which a backend server counts as lost.
  uint32_t m_max_probe_failures = 3;

  /// Period between reads of the configuration version.
  std::chrono::milliseconds m_config_poll_period{500};

  /// Maximum difference between the rates of two hosts' steady clocks, as a
  /// fraction.
  double m_clock_drift = 0.01;

  /// Maximum difference between two hosts' wall clocks.
  std::chrono::milliseconds m_max_wall_skew{50};

  /// Maximum time by which a request id may be issued ahead of an entry's wall
  /// clock.
  std::chrono::milliseconds m_max_id_lead{250};

  /// TTL of issued tokens.
  std::chrono::milliseconds m_token_ttl{1000};

  /// Retention time of request ids and crash suspects.
  std::chrono::milliseconds m_retention{60'000};

  /// Number of crashes with no other request in flight after which a request is
  /// quarantined.
  uint32_t m_quarantine_crashes = 2;

  /// Maximum number of planned moves in progress to one receiving server.
  uint32_t m_max_moves_per_receiver = 4;

  /// Ratio of a server's load to the mean above which the server releases a
  /// partition.
  double m_overload_ratio = 1.3;

  /// Minimum time between two load-driven moves in a cell.
  std::chrono::milliseconds m_rebalance_period{1000};

  /// Minimum time that a partition stays with its owner before a load-driven
  /// move.
  std::chrono::milliseconds m_move_cooldown{10'000};
};

}  // namespace foxtail
