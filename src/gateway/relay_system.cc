#include "gateway/relay_system.h"

#include <algorithm>

namespace foxtail {
namespace {

// Rows that do not fit into one datagram are left to the members to read.
constexpr size_t kLargestNews = 48 * 1024;  // bytes

size_t SizeOf(const std::vector<StoredRow>& rows) {
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
      SizeOf(result.m_rows) > kLargestNews) {
    return;
  }
  SendCommand command;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    if (member.m_record.m_address != tables.m_self.m_address) {
      command.m_addresses.push_back(member.m_record.m_address);
    }
  });
  command.m_message = RowsNews{tables.m_lead.m_record.m_epoch, kind, after,
                               result.m_version, result.m_rows};
  tables.m_outbox.emplace_back(std::move(command));
}

std::optional<RowsResult> RelaySystem::OnNews(GatewayTables& tables,
                                              RowsNews news,
                                              const Now& now) {
  if (news.m_epoch < tables.m_lead.m_record.m_epoch ||
      news.m_kind >= kWatchedKinds) {
    return std::nullopt;
  }
  WatchProgress& progress = tables.m_progress[news.m_kind];
  progress.NoteChange(news.m_up_to, now.m_steady);
  // Something between is missing, or nothing was read yet: a read follows.
  if (progress.m_read_up_to < news.m_after || progress.m_read_up_to == 0 ||
      progress.m_read_up_to >= news.m_up_to) {
    return std::nullopt;
  }
  // Rows that are known already may be older than what is known.
  std::erase_if(news.m_rows, [&progress](const StoredRow& row) {
    return row.m_version <= progress.m_read_up_to;
  });
  return RowsResult{StoreOutcome::kDone, std::move(news.m_rows), news.m_up_to};
}

bool RelaySystem::IsRelaying(const GatewayTables& tables, const Now& now) {
  const auto is_recent = [&](WatchedKind kind) {
    return now.m_boot - tables.m_progress[kind].m_read_at <
           tables.m_settings.m_relay_max_read_age;
  };
  return is_recent(kOperatorRows) && is_recent(kServerRows);
}

bool RelaySystem::MustWatch(const GatewayTables& tables, const Now& now) {
  return tables.IsLeading(now) || now.m_steady >= tables.m_relayed_until;
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
    // What the leader writes itself shows by the watch, or it is behind.
    return kind != kClusterRows &&
           now.m_boot - progress.m_read_at > settings.m_leader_refresh_age;
  }
  return kind == kOperatorRows && now.m_boot - tables.m_operators_read_at >
                                      settings.m_member_refresh_age;
}

}  // namespace foxtail
