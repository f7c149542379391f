#include "gateway/rollout_row.h"

namespace foxtail {

// A row that repeats the target of a running rollout is part of that order. A
// lower number is that of a store that was restored from an older copy.
bool IsOrdersRecord(const RolloutRow& row) {
  if (!row.m_order || !row.m_record ||
      row.m_order->m_target != row.m_record->m_target) {
    return false;
  }
  return row.m_record->m_order >= row.m_order->m_number ||
         row.m_record->m_state == RolloutState::kRunning;
}

std::optional<RoutedRollout> BuildRoutedRollout(const RolloutRow& row) {
  RoutedRollout rollout;
  if (row.m_record) {
    rollout.m_rejected = row.m_record->m_rejected;
  }
  if (row.m_order && !IsOrdersRecord(row)) {
    rollout.m_target = row.m_order->m_target;
    rollout.m_order = row.m_order->m_number;
  } else if (row.m_order &&
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
