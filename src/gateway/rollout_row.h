#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/time.h"
#include "gateway/rollout_judge.h"
#include "gateway/rollout_records.h"
#include "gateway/routed_rollout.h"

namespace foxtail {

/// The last report of a member on a rollout.
struct RolloutMember {
  std::string m_incarnation;
  uint64_t m_sequence = 0;
  RolloutCounts m_counts;
  TimePoint m_reported_at;
};

/// The order and the record of a service's rollout.
struct RolloutRow {
  std::string m_service;

  /// The operators' order in force, and when this process first read it. If it
  /// was read as a change, it was written just before.
  std::optional<RolloutOrder> m_order;
  TimePoint m_order_seen_at;
  bool m_order_read_as_change = false;

  /// The newest record, the version of its row in the store, and whether the
  /// store has it: a rollback takes effect before it is stored.
  std::optional<RolloutRecord> m_record;
  uint64_t m_record_version = 0;
  bool m_record_stored = false;

  /// The rest is maintained by the leader only, and starts again with each
  /// epoch of its lease.
  uint64_t m_leader_epoch = 0;

  /// A record that is to be written.
  std::optional<RolloutRecord> m_next_record;
  bool m_write_in_flight = false;
  TimePoint m_next_write_at;

  /// Judges the order in force while it runs. A leader that took over a running
  /// rollout does not know the time of what members report first.
  std::optional<RolloutJudge> m_judge;
  TimePoint m_judged_since;
  bool m_taken_over = false;
  std::map<std::string, RolloutMember> m_members;

  /// State that the operators' row has, if this leader wrote it; the row's
  /// version.
  std::optional<RolloutState> m_reported_state;
  uint64_t m_status_version = 0;
  bool m_status_in_flight = false;
  TimePoint m_next_status_at;
};

/// Returns whether the record is that of the row's order.
bool IsOrdersRecord(const RolloutRow& row);

/// Returns the rollout as it applies to requests and keys, or nothing if all
/// servers may be used.
std::optional<RoutedRollout> BuildRoutedRollout(const RolloutRow& row);

}  // namespace foxtail
