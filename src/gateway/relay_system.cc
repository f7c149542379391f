#include "gateway/relay_system.h"

#include <algorithm>

namespace foxtail {
namespace {

// Members read larger changes from the store, since they do not fit into one
// datagram.
constexpr size_t kMaxRelayedBytes = 48 * 1024;  // bytes

size_t CountBytes(const std::vector<StoredRow>& rows) {
  size_t size = 0;
  for (const StoredRow& row : rows) {
    size += row.m_key.size() + row.m_value.size();
  }
  return size;
}

}  // namespace

void RelaySystem::OnRead(GatewayTables& tables,
                         WatchedKind kind,
                         uint64_t after,
                         const RowsResult& result,
                         const Now& now) {
  if (!tables.IsLeading(now) || result.m_rows.empty() ||
      CountBytes(result.m_rows) > kMaxRelayedBytes) {
    return;
  }
  tables.m_outbox.emplace_back(SendDatagramCommand{
      ListOtherMembers(tables),
      RelayedRows{tables.m_leader_lease.m_record.m_epoch, kind, after,
                  result.m_version, result.m_rows}});
}

std::optional<RowsResult> RelaySystem::OnRelayedRows(GatewayTables& tables,
                                                     RelayedRows relayed,
                                                     const Now& now) {
  if (relayed.m_epoch < tables.m_leader_lease.m_record.m_epoch ||
      relayed.m_kind >= kWatchedKinds) {
    return std::nullopt;
  }
  WatchProgress& progress = tables.m_progress[relayed.m_kind];
  progress.RecordKnownVersion(relayed.m_to_version, now.m_steady);
  // Either changes before these rows are missing, the table has not been read
  // yet, or the rows are not new. In the first two cases a read follows.
  if (progress.m_applied_version < relayed.m_from_version ||
      progress.m_applied_version == 0 ||
      progress.m_applied_version >= relayed.m_to_version) {
    return std::nullopt;
  }
  // Rows up to the applied version must not replace newer ones.
  std::erase_if(relayed.m_rows, [&progress](const StoredRow& row) {
    return row.m_version <= progress.m_applied_version;
  });
  return RowsResult{StoreOutcome::kDone, std::move(relayed.m_rows),
                    relayed.m_to_version};
}

bool RelaySystem::IsRelaying(const GatewayTables& tables, const Now& now) {
  const auto is_recent = [&](WatchedKind kind) {
    return now.m_boot - tables.m_progress[kind].m_last_read_sent_at <
           tables.m_settings.m_relay_max_read_age;
  };
  return is_recent(kOperatorRows) && is_recent(kServerRows);
}

bool RelaySystem::MustWatch(const GatewayTables& tables, const Now& now) {
  return tables.IsLeading(now) || now.m_steady >= tables.m_relayed_until;
}

// While the leader relays, only its own outages matter, and its responses tell
// of them.
void RelaySystem::OnStoreReachable(GatewayTables& tables, const Now& now) {
  if (MustWatch(tables, now)) {
    tables.m_store_reachable_since = now.m_steady;
  }
}

bool RelaySystem::IsProbeDue(const GatewayTables& tables,
                             WatchedKind kind,
                             const Now& now) {
  const OwnershipSettings& settings = tables.m_settings;
  const WatchProgress& progress = tables.m_progress[kind];
  if (progress.m_behind_since != TimePoint() &&
      now.m_steady - progress.m_behind_since > settings.m_max_lag) {
    return true;
  }
  if (tables.IsLeading(now)) {
    // The cluster rows need no age limit: the leader's own writes either arrive
    // through its watch, or the leader is behind and reads as above.
    return kind != kClusterRows && now.m_boot - progress.m_last_read_sent_at >
                                       settings.m_leader_refresh_age;
  }
  return kind == kOperatorRows && now.m_boot - tables.m_operators_read_at >
                                      settings.m_member_refresh_age;
}

}  // namespace foxtail
