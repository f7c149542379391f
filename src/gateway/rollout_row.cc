#include "gateway/rollout_row.h"

#include <algorithm>

#include "store/store_version.h"

namespace foxtail {
namespace {

uint64_t NewestRowOf(const RolloutRecord& record) {
  return std::max(record.m_order, record.m_last_repeat);
}

}  // namespace

bool HasOrder(const RolloutRow& row) {
  return row.m_order && !row.m_order_withdrawn;
}

bool IsOrdersRecord(const RolloutRow& row) {
  if (!HasOrder(row) || !row.m_record) {
    return false;
  }
  // A lower number is that of a store that was restored from an older copy.
  return row.m_order_superseded || IsRepeat(row) ||
         (row.m_order->m_target == row.m_record->m_target &&
          row.m_order->m_number <= NewestRowOf(*row.m_record));
}

// A row with the target of a running rollout is part of that order, and so is
// the first one that is read in an era of the store: it is of the copy, or
// operators have written their rows again.
bool IsRepeat(const RolloutRow& row) {
  if (!HasOrder(row) || !row.m_record || row.m_order_superseded ||
      row.m_order->m_target != row.m_record->m_target) {
    return false;
  }
  const uint64_t newest = NewestRowOf(*row.m_record);
  const uint64_t number = row.m_order->m_number;
  return number > newest && (row.m_record->m_state == RolloutState::kRunning ||
                             EraOfVersion(number) > EraOfVersion(newest) ||
                             number <= row.m_order_repeat);
}

std::optional<RoutedRollout> BuildRoutedRollout(const RolloutRow& row) {
  RoutedRollout rollout;
  if (row.m_record) {
    rollout.m_rejected = row.m_record->m_rejected;
  }
  if (HasOrder(row) && !IsOrdersRecord(row)) {
    rollout.m_target = row.m_order->m_target;
    rollout.m_order = row.m_order->m_number;
  } else if (HasOrder(row) &&
             row.m_record->m_state != RolloutState::kRolledBack) {
    rollout.m_target = row.m_record->m_target;
    rollout.m_order = row.m_record->m_order;
    rollout.m_step = row.m_record->m_step;
    rollout.m_share = row.m_record->m_share;
  }
  if (rollout.m_target.empty() && rollout.m_rejected.empty()) {
    return std::nullopt;
  }
  return rollout;
}

}  // namespace foxtail
