#include "gateway/relay_system.h"

#include <algorithm>
#include <set>

#include "core/error.h"
#include "gateway/relay_groups.h"
#include "gateway/store_era_system.h"

namespace foxtail {
namespace {

// Members read larger changes from the store, since they do not fit into one
// datagram.
constexpr size_t kMaxRelayedBytes = 48 * 1024;  // bytes

// Replaces owners records in `relayed` by their changes since the records that
// are applied here. `relayed` holds rows that are not applied yet.
void ReplaceOwnersRecords(const GatewayTables& tables, RelayedRows& relayed) {
  std::erase_if(relayed.m_rows, [&](const StoredRow& row) {
    const EraKey key = DecodeEraKey(row.m_key);
    if (row.m_removed || key.m_era != tables.GetEra() ||
        !key.m_key.starts_with(kOwnersPrefix)) {
      return false;
    }
    const std::string service =
        key.m_key.substr(std::string_view(kOwnersPrefix).size());
    const auto before = tables.m_owners.find(service);
    if (before == tables.m_owners.end()) {
      return false;
    }
    try {
      relayed.m_owners_changes.push_back(
          BuildOwnersChange(service, row.m_version, before->second,
                            DecodeOwnersRecord(row.m_value)));
    } catch (const Error&) {
      return false;  // logged where the row is applied
    }
    return true;
  });
}

// Applies all changes or, if one does not follow on what is known here, none.
bool ApplyOwnersChanges(GatewayTables& tables,
                        const std::vector<OwnersChange>& changes,
                        uint64_t applied_version) {
  std::map<std::string, OwnersRecord> results;
  for (const OwnersChange& change : changes) {
    const auto known = tables.m_owners.find(change.m_service);
    if (change.m_row_version <= applied_version) {
      continue;
    }
    auto result = known == tables.m_owners.end()
                      ? std::nullopt
                      : ApplyOwnersChange(known->second, change);
    if (!result) {
      return false;
    }
    results[change.m_service] = std::move(*result);
  }
  for (auto& [service, record] : results) {
    tables.m_owners[service] = std::move(record);
    tables.m_snapshot_due = true;
  }
  return true;
}

size_t CountBytes(const std::vector<StoredRow>& rows) {
  size_t size = 0;
  for (const StoredRow& row : rows) {
    size += row.m_key.size() + row.m_value.size();
  }
  return size;
}

}  // namespace

void RelaySystem::OnStarted(GatewayTables& tables, TimePoint now) {
  tables.m_relayed_until = now + tables.m_settings.m_relay_start_grace;
}

void RelaySystem::OnRead(GatewayTables& tables,
                         WatchedKind kind,
                         uint64_t after,
                         const RowsResult& result,
                         const Now& now) {
  if (!tables.IsLeading(now) || result.m_rows.empty()) {
    return;
  }
  RelayedRows relayed;
  relayed.m_epoch = tables.m_leader_lease.m_record.m_epoch;
  relayed.m_kind = kind;
  relayed.m_from_version = after;
  relayed.m_to_version = result.m_version;
  relayed.m_rows = result.m_rows;
  relayed.m_age_ms = WholeMilliseconds(
      now.m_steady - tables.m_progress[kind].FindChangeTime(now));
  if (kind == kClusterRows) {
    ReplaceOwnersRecords(tables, relayed);
  }
  if (CountBytes(relayed.m_rows) > kMaxRelayedBytes) {
    return;
  }
  for (RelayGroup& group : BuildRelayGroups(tables, now)) {
    relayed.m_followers = std::move(group.m_followers);
    tables.m_outbox.emplace_back(
        SendDatagramCommand{{std::move(group.m_relay)}, relayed});
  }
}

// Only addresses of members are sent to, so that a corrupt or foreign message
// cannot direct datagrams elsewhere.
std::optional<SendDatagramCommand> RelaySystem::TakeForward(
    const GatewayTables& tables,
    RelayedRows& relayed) {
  const std::vector<std::string> followers =
      std::exchange(relayed.m_followers, {});
  if (followers.empty() ||
      relayed.m_epoch < tables.m_leader_lease.m_record.m_epoch) {
    return std::nullopt;
  }
  const std::vector<std::string> members = ListOtherMembers(tables);
  const std::set<std::string> known(members.begin(), members.end());
  SendDatagramCommand command{{}, relayed};
  std::ranges::copy_if(
      followers, std::back_inserter(command.m_addresses),
      [&known](const std::string& address) { return known.contains(address); });
  return command;
}

std::optional<RowsResult> RelaySystem::OnRelayedRows(GatewayTables& tables,
                                                     RelayedRows relayed,
                                                     const Now& now) {
  if (relayed.m_epoch < tables.m_leader_lease.m_record.m_epoch ||
      relayed.m_kind >= kWatchedKinds ||
      !StoreEraSystem::OnMessage(tables, relayed.m_to_version, now)) {
    return std::nullopt;
  }
  WatchProgress& progress = tables.m_progress[relayed.m_kind];
  progress.RecordKnownVersion(relayed.m_to_version, now.m_steady);
  // Either changes before these rows are missing, the table has not been read
  // yet, or the rows are not new. In the first two cases a read follows.
  if (progress.m_applied_version < relayed.m_from_version ||
      progress.m_applied_version == 0 ||
      progress.m_applied_version >= relayed.m_to_version ||
      !ApplyOwnersChanges(tables, relayed.m_owners_changes,
                          progress.m_applied_version)) {
    return std::nullopt;
  }
  progress.RecordCompleteAt(now.m_boot -
                            std::chrono::milliseconds(relayed.m_age_ms));
  // Rows up to the applied version must not replace newer ones.
  std::erase_if(relayed.m_rows, [&progress](const StoredRow& row) {
    return row.m_version <= progress.m_applied_version;
  });
  return RowsResult{StoreOutcome::kDone, std::move(relayed.m_rows),
                    relayed.m_to_version};
}

// A read that fails tells sooner than the age of the last one that succeeded.
// A single failure is retried first: if the leader stops relaying, all members
// read the store.
bool RelaySystem::IsRefused(const GatewayTables& tables, const Now& now) {
  const auto is_refused = [&](WatchedKind kind) {
    const TimePoint failing_since = tables.m_progress[kind].m_failing_since;
    return failing_since != TimePoint() &&
           now.m_steady - failing_since >=
               tables.m_settings.m_relay_failure_grace;
  };
  return is_refused(kOperatorRows) || is_refused(kServerRows);
}

bool RelaySystem::IsRelaying(const GatewayTables& tables, const Now& now) {
  const auto is_recent = [&](WatchedKind kind) {
    return now.m_boot - tables.m_progress[kind].m_last_read_sent_at <
           tables.m_settings.m_relay_max_read_age;
  };
  return is_recent(kOperatorRows) && is_recent(kServerRows) &&
         !IsRefused(tables, now);
}

bool RelaySystem::MustWatch(const GatewayTables& tables, const Now& now) {
  return tables.IsLeading(now) || now.m_steady >= tables.m_relayed_until;
}

void RelaySystem::OnReadOutcome(GatewayTables& tables,
                                WatchedKind kind,
                                bool succeeded,
                                const Now& now) {
  TimePoint& failing_since = tables.m_progress[kind].m_failing_since;
  if (succeeded) {
    failing_since = TimePoint();
  } else if (failing_since == TimePoint()) {
    failing_since = now.m_steady;
  }
}

void RelaySystem::OnStoreCall(GatewayTables& tables,
                              bool answered,
                              const Now& now) {
  if (answered) {
    OnStoreAnswered(tables, now.m_steady, now);
  } else {
    tables.m_outages.OnFailure();
  }
}

void RelaySystem::OnStoreAnswered(GatewayTables& tables,
                                  TimePoint at,
                                  const Now& now) {
  if (tables.m_outages.OnAnswer(at)) {
    OnStoreReachable(tables, now);
  }
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
  if (kind == kServerRows) {
    return now.m_steady - tables.m_relayed_until >
               settings.m_member_refresh_age &&
           now.m_boot - progress.m_last_read_sent_at >
               settings.m_member_refresh_age;
  }
  return kind == kOperatorRows && now.m_boot - tables.m_operators_read_at >
                                      settings.m_member_refresh_age;
}

}  // namespace foxtail
