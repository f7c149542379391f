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

  /// The order's row may be of the copy from which the store came back, with
  /// an order that was replaced or withdrawn since.
  bool m_order_may_be_of_copy = false;

  /// The row may be of the copy, and no order was in force when the store came
  /// back: the order was withdrawn and is not in force.
  bool m_order_withdrawn = false;

  /// The row may be of the copy, and the record is that of a later order, which
  /// is in force.
  bool m_order_superseded = false;

  /// Version of the newest row that repeats the record's order and was written
  /// soon after the store came back.
  uint64_t m_order_repeat = 0;

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
  bool m_status_version_known = false;
  bool m_status_in_flight = false;
  TimePoint m_next_status_at;

  /// When the row is checked for a late write of an older era of the store.
  std::optional<TimePoint> m_status_check_at;
};

/// Returns whether an order is in force.
bool HasOrder(const RolloutRow& row);

/// Returns whether an order is in force and the record is that of it.
bool IsOrdersRecord(const RolloutRow& row);

/// Returns whether the row of the order in force repeats the record's order.
bool IsRepeat(const RolloutRow& row);

/// Returns the rollout as it applies to requests and keys, or nothing if all
/// servers may be used.
std::optional<RoutedRollout> BuildRoutedRollout(const RolloutRow& row);

}  // namespace foxtail
