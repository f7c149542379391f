#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

#include "core/settings.h"
#include "core/time.h"

namespace foxtail {

/// Times and limits of the control decisions.
struct OwnershipSettings {
  /// Validity of the leader lease. Below the hold of a grant, so that a
  /// successor renews before keys lapse.
  Duration m_leader_lease_ttl = std::chrono::milliseconds(2000);

  /// Pause between renewals of the leader lease: three tries a validity.
  Duration m_leader_lease_renew_period = std::chrono::milliseconds(650);

  /// What the leader's own right ends before its lease: covers a check that
  /// was made just before an order went out.
  Duration m_leader_lease_margin = std::chrono::milliseconds(150);

  /// Time without a word of the leader after which others read its row.
  Duration m_leader_silence_timeout = std::chrono::milliseconds(900);

  /// Pause between reads of the leader's row, and what each later member in
  /// order waits longer, so that not all of them read at once.
  Duration m_leader_lease_read_period = std::chrono::milliseconds(250);
  Duration m_rank_delay = std::chrono::milliseconds(120);

  /// Hold of a grant, and pause between its renewals (three tries a hold). A
  /// shorter hold frees the keys of a lost server sooner.
  Duration m_grant_ttl = std::chrono::milliseconds(4000);
  Duration m_grant_renew_period = std::chrono::milliseconds(1300);

  /// A shorter hold than this is not worth an order.
  Duration m_min_grant_ttl = std::chrono::milliseconds(300);

  /// Hold of a grant that only shows a server a higher token.
  Duration m_fencing_grant_ttl = std::chrono::milliseconds(1);

  /// Hold while the store does not answer: the longest that servers accept.
  Duration m_outage_grant_ttl = std::chrono::seconds(10);

  /// A server's clock may run this much slow.
  double m_clock_drift = 0.02;

  /// Longest time for one order to a server.
  Duration m_server_call_timeout = std::chrono::milliseconds(700);

  /// Longest time for a release, which waits for running requests.
  Duration m_release_call_timeout = std::chrono::milliseconds(1500);

  /// Pause before an order is tried again.
  Duration m_server_call_retry_delay = std::chrono::milliseconds(250);

  /// Time for which a server must fail all orders before its keys are moved.
  Duration m_server_unreachable_timeout = std::chrono::milliseconds(900);

  /// Time after the leader's start, or after a change, in which servers gather
  /// before keys are dealt out.
  Duration m_registration_grace_period = std::chrono::milliseconds(600);

  /// Pause between planned moves that even out load, so that the effect of one
  /// is seen before the next.
  Duration m_rebalance_interval = std::chrono::milliseconds(600);

  /// Pause between reports to the leader, and the shortest one when requests
  /// wait for tokens.
  Duration m_report_period = std::chrono::milliseconds(400);
  Duration m_min_report_interval = std::chrono::milliseconds(25);

  /// Pause between reports of load and speed: a key that becomes busy must show
  /// well within a second.
  Duration m_load_report_period = std::chrono::milliseconds(400);

  /// Time in which confirmed moves gather before they are recorded: each record
  /// goes to all daemons.
  Duration m_confirmation_batch_delay = std::chrono::milliseconds(30);

  /// Silence after which a member or the leader counts as not heard.
  Duration m_contact_silence_timeout = std::chrono::milliseconds(1300);

  /// Life of a token, and for how long it counts as out. The difference covers
  /// clock drift and a late report.
  std::chrono::milliseconds m_token_ttl{1000};
  Duration m_outstanding_token_ttl = std::chrono::milliseconds(1100);

  /// Age of the configuration at which the leader, and others, read it
  /// themselves. The difference leaves the reading to the leader.
  Duration m_leader_refresh_age = std::chrono::milliseconds(700);
  Duration m_member_refresh_age = std::chrono::milliseconds(2300);

  /// Members leave the watching to a leader whose reads are not older than
  /// this, and to one that was heard not longer ago than this. Together with a
  /// report period well below the time within which servers must get no new
  /// work.
  Duration m_relay_max_read_age = std::chrono::milliseconds(1000);
  Duration m_relay_silence_timeout = std::chrono::milliseconds(900);

  /// Time a change that the leader knows of may be unknown here before the
  /// table is read without waiting for the watch.
  Duration m_max_lag = std::chrono::milliseconds(300);

  /// Silence after which the leader takes a member off the list.
  Duration m_member_silence_timeout = std::chrono::seconds(20);

  /// Longest time for one read or write of the store.
  Duration m_store_timeout = std::chrono::milliseconds(900);

  /// Pause after a call that the store did not carry out.
  Duration m_store_retry_delay = std::chrono::milliseconds(250);
};

/// Settings of `foxtail-gateway`.
struct GatewaySettings {
  std::string m_listen = "127.0.0.1:18300";
  std::string m_ready = "127.0.0.1:18301";
  std::string m_internal = "127.0.0.1:18302";
  std::string m_metrics = "127.0.0.1:18303";
  std::string m_store = "127.0.0.1:18304";
  std::string m_data_centre = "local";
  std::string m_log_file = "-";
  std::string m_processor_share = "1";

  /// Age of the configuration beyond which requests with an API key are
  /// refused, so that a withdrawn key stops working.
  std::chrono::milliseconds m_access_lifetime{4500};

  /// Time without new requests before a planned stop closes connections: the
  /// balancer takes a host out after two missed checks, one second apart.
  std::chrono::milliseconds m_stop_delay{2500};

  /// Longest time for a planned stop.
  std::chrono::milliseconds m_stop_timeout{5600};

  /// Most connections of clients at once.
  uint32_t m_connection_limit = 3000;

  /// Retries for each hundred first attempts at a service.
  uint32_t m_retry_percent = 15;

  OwnershipSettings m_ownership;
};

/// Returns the processor time of this host, in cores. Throws
/// `Error(kSettingInvalid)`.
double ParseProcessorShare(const GatewaySettings& settings);

/// The rows of all settings.
std::span<const SettingRow<GatewaySettings>> GatewaySettingRows();

}  // namespace foxtail
