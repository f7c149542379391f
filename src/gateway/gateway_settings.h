#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

#include "core/settings.h"
#include "core/time.h"

namespace foxtail {

/// How a host decides when it may send a request to a backend server.
enum class SchedulingMode {
  /// By what it has seen of the server itself.
  kOwn,
  /// By a permit of the host that schedules the server for all hosts.
  kShared,
  /// Shared in configurations in which no workspace has a rate, so that nothing
  /// else bounds the load; own in others.
  kAuto,
};

/// Time limits and intervals of the control decisions.
struct OwnershipSettings {
  /// Whether requests need permits. Hot keys are then split between servers one
  /// by one, since a server's scheduler refuses what its slots cannot take.
  SchedulingMode m_scheduling = SchedulingMode::kOwn;

  /// TTL of the leader lease. Below the TTL of a grant, so that a successor
  /// renews grants before they expire.
  Duration m_leader_lease_ttl = std::chrono::milliseconds(2000);

  /// Interval between renewals of the leader lease: three attempts within its
  /// TTL.
  Duration m_leader_lease_renew_period = std::chrono::milliseconds(650);

  /// The leader stops acting this long before its lease expires. Covers a check
  /// that passed just before a call to a backend server was sent.
  Duration m_leader_lease_margin = std::chrono::milliseconds(150);

  /// Time without a message from the leader after which other members read the
  /// leader lease.
  Duration m_leader_silence_timeout = std::chrono::milliseconds(900);

  /// Interval between reads of the leader lease, and the extra delay for each
  /// rank among the members, so that the members do not all read at once.
  Duration m_leader_lease_read_period = std::chrono::milliseconds(250);
  Duration m_rank_delay = std::chrono::milliseconds(120);

  /// TTL of a grant, and the interval between its renewals (three attempts
  /// within the TTL). A shorter TTL frees the keys of a lost server sooner.
  Duration m_grant_ttl = std::chrono::milliseconds(4000);
  Duration m_grant_renew_period = std::chrono::milliseconds(1300);

  /// A grant is not sent if its TTL would be shorter than this.
  Duration m_min_grant_ttl = std::chrono::milliseconds(300);

  /// TTL of a grant that only informs a server of a higher fencing token.
  Duration m_fencing_grant_ttl = std::chrono::milliseconds(1);

  /// TTL of a grant while the store does not respond: the longest that servers
  /// accept.
  Duration m_outage_grant_ttl = std::chrono::seconds(10);

  /// Fraction by which a server's clock may run slow.
  double m_clock_drift = 0.02;

  /// Timeout of one call to a backend server.
  Duration m_server_call_timeout = std::chrono::milliseconds(700);

  /// A tick that runs this long after it was due shows that this process itself
  /// is late, by lack of processor time or of a link. Several times the delay
  /// of a busy host's timers.
  Duration m_late_tick_threshold = std::chrono::milliseconds(150);

  /// Timeout of a release call, which waits for running requests.
  Duration m_release_call_timeout = std::chrono::milliseconds(1500);

  /// Delay before a failed call to a backend server is retried.
  Duration m_server_call_retry_delay = std::chrono::milliseconds(250);

  /// A server is unreachable, and its keys move, after all calls to it have
  /// failed for this long.
  Duration m_server_unreachable_timeout = std::chrono::milliseconds(900);

  /// Grace period after an outage of the store, in which servers register again
  /// before keys are assigned.
  Duration m_registration_grace_period = std::chrono::milliseconds(600);

  /// After the store has come back from an old copy: time in which members
  /// register again, which they do as soon as they have read the cluster table,
  /// and time for which evacuations and orders of rollouts stay as they were
  /// unless operators write them again. The latter leaves room for a person,
  /// and bounds what a lifted evacuation that the copy brought back costs.
  Duration m_era_member_grace = std::chrono::seconds(5);
  Duration m_era_operator_grace = std::chrono::seconds(60);

  /// For how long a process that has started in a later era of the store waits
  /// for a member to tell what was in force before. Members respond within
  /// milliseconds; if all have ended, service begins this much later.
  Duration m_era_history_timeout = std::chrono::milliseconds(400);

  /// Interval between moves that balance load, so that the effect of one move
  /// is measured before the next.
  Duration m_rebalance_interval = std::chrono::milliseconds(600);

  /// Interval between reports to the leader, and the shortest interval when
  /// requests wait for tokens.
  Duration m_report_period = std::chrono::milliseconds(400);
  Duration m_min_report_interval = std::chrono::milliseconds(25);

  /// Time after which a report without an answer counts as lost, so that
  /// waiting requests cause another one.
  Duration m_report_answer_timeout = std::chrono::milliseconds(150);

  /// Interval between reports of load and speed: a key that becomes hot must be
  /// detected well within a second.
  Duration m_load_report_period = std::chrono::milliseconds(400);

  /// Confirmed moves are batched for this long before they are recorded,
  /// because each record is sent to all gateways.
  Duration m_confirmation_batch_delay = std::chrono::milliseconds(30);

  /// Time without a message after which a member or the leader counts as
  /// unreachable.
  Duration m_contact_silence_timeout = std::chrono::milliseconds(1300);

  /// TTL of a token at a member, and the time for which the leader counts the
  /// token as outstanding. The difference covers clock drift and a late report.
  std::chrono::milliseconds m_token_ttl{1000};
  Duration m_outstanding_token_ttl = std::chrono::milliseconds(1100);

  /// Age of the configuration at which the leader and the other members,
  /// respectively, read the configuration from the store themselves. The longer
  /// time of the members leaves the read to the leader.
  Duration m_leader_refresh_age = std::chrono::milliseconds(500);
  Duration m_member_refresh_age = std::chrono::milliseconds(2300);

  /// Members rely on the leader to watch the store while the leader's reads are
  /// not older than the first time and its last message is not older than the
  /// second. Together with a report period, both are well below the time within
  /// which servers must stop receiving new work.
  Duration m_relay_max_read_age = std::chrono::milliseconds(900);
  Duration m_relay_silence_timeout = std::chrono::milliseconds(900);

  /// The leader no longer relays once its reads of the store have failed for
  /// this long: two retries.
  Duration m_relay_failure_grace = std::chrono::milliseconds(300);

  /// For how long a process that has just started waits for a leader's messages
  /// before it watches the store itself. Hosts that start together would
  /// otherwise all receive each other's registrations from the store.
  Duration m_relay_start_grace = std::chrono::milliseconds(2500);

  /// A table is read without waiting for its watch once a change that the
  /// leader knows of has been missing here for this long.
  Duration m_max_lag = std::chrono::milliseconds(300);

  /// Time without a report after which the leader deregisters a member.
  Duration m_member_silence_timeout = std::chrono::seconds(20);

  /// Timeout of one read or write of the store.
  Duration m_store_timeout = std::chrono::milliseconds(900);

  /// Delay before a failed store call is retried.
  Duration m_store_retry_delay = std::chrono::milliseconds(250);
};

/// Limit on the workspaces that one summary in the log names.
inline constexpr size_t kMaxLoggedWorkspaces = 20;

/// Settings of `foxtail-gateway`.
struct GatewaySettings {
  std::string m_listen = "127.0.0.1:18300";
  std::string m_ready = "127.0.0.1:18301";
  std::string m_internal = "127.0.0.1:18302";
  std::string m_metrics = "127.0.0.1:18303";
  std::string m_store = "127.0.0.1:18304";

  /// Empty: no permits are used.
  std::string m_permits;
  std::string m_scheduling = "auto";
  std::string m_data_centre = "local";
  std::string m_log_file = "-";
  std::string m_processor_share = "1";

  /// Age of the configuration beyond which requests with an API key are
  /// refused, so that a revoked key stops working.
  std::chrono::milliseconds m_access_lifetime{4500};

  /// Delay between failing the readiness checks and closing connections in a
  /// graceful shutdown: the load balancer removes a host after two failed
  /// checks, one second apart.
  std::chrono::milliseconds m_stop_delay{2500};

  /// Timeout of a graceful shutdown.
  std::chrono::milliseconds m_stop_timeout{5600};

  /// Limit on simultaneous client connections.
  uint32_t m_connection_limit = 3000;

  /// Memory of this host in MB, and descriptors that the process may open; 0
  /// for those of the machine.
  uint32_t m_memory_limit = 0;
  uint32_t m_descriptor_limit = 0;

  /// Retries for each hundred first attempts at a service.
  uint32_t m_retry_percent = 15;

  OwnershipSettings m_ownership;
};

/// Parses the processor time of this host, in cores. Throws
/// `Error(kSettingInvalid)`.
double ParseProcessorShare(const GatewaySettings& settings);

/// Parses how requests are scheduled; `kOwn` without an address for permits.
/// Throws `Error(kSettingInvalid)`.
SchedulingMode ParseSchedulingMode(const GatewaySettings& settings);

/// Returns the descriptions of all settings.
std::span<const SettingRow<GatewaySettings>> GatewaySettingRows();

}  // namespace foxtail
