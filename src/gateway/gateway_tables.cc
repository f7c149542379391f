#include "gateway/gateway_tables.h"

#include <algorithm>

namespace foxtail {
namespace {

// A watch that is answered no sooner than this after it was sent was open when
// its first change came, so none of its changes is older than the answer. Well
// above the time of a call to a store that works.
constexpr std::chrono::milliseconds kMinOpenTime{50};

}  // namespace

void WatchProgress::RecordAnsweredWatch(BootTime sent_at,
                                        BootTime answered_at) {
  if (answered_at - sent_at >= kMinOpenTime) {
    RecordCompleteAt(answered_at);
  }
}

void WatchProgress::RecordCompleteAt(BootTime complete_at) {
  m_complete_at = std::max(m_complete_at, complete_at);
}

void WatchProgress::RecordKnownVersion(uint64_t version, TimePoint now) {
  m_latest_known_version = std::max(m_latest_known_version, version);
  if (m_latest_known_version > m_applied_version &&
      m_behind_since == TimePoint()) {
    m_behind_since = now;
  }
}

TimePoint WatchProgress::FindChangeTime(const Now& now) const {
  const TimePoint heard_at =
      m_behind_since == TimePoint() ? now.m_steady : m_behind_since;
  if (m_complete_at == BootTime()) {
    return heard_at;
  }
  const Duration age =
      std::max<Duration>(Duration(0), now.m_boot - m_complete_at);
  return std::min(heard_at, now.m_steady - age);
}

void WatchProgress::RecordAppliedVersion(uint64_t version) {
  m_applied_version = std::max(m_applied_version, version);
  if (m_latest_known_version <= m_applied_version) {
    m_behind_since = TimePoint();
  }
}

void WatchProgress::RecordAppliedRows(const RowsResult& result, bool complete) {
  m_loaded = true;
  RecordAppliedVersion(result.m_version);
  // A full read does not show which rows were removed, so the newest change may
  // be a removal at any version up to that of the read.
  if (complete) {
    m_last_change_version = result.m_version;
  }
  for (const StoredRow& row : result.m_rows) {
    m_last_change_version = std::max(m_last_change_version, row.m_version);
  }
}

std::vector<std::string> ListOtherMembers(const GatewayTables& tables) {
  std::vector<std::string> addresses;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    if (member.m_record.m_address != tables.m_self.m_address) {
      addresses.push_back(member.m_record.m_address);
    }
  });
  return addresses;
}

const ServerRow* FindServer(const GatewayTables& tables,
                            const std::string& id) {
  const auto found = tables.m_servers_by_id.find(id);
  return found == tables.m_servers_by_id.end()
             ? nullptr
             : tables.m_servers.Find(found->second);
}

ServerRow* FindServer(GatewayTables& tables, const std::string& id) {
  return const_cast<ServerRow*>(
      FindServer(static_cast<const GatewayTables&>(tables), id));
}

uint64_t IssueFencingToken(GatewayTables& tables) {
  return ++tables.m_leader_lease.m_last_fence;
}

ServiceId FindService(const GatewayTables& tables, const std::string& name) {
  return tables.m_services.FindIf(
      [&name](const ServiceRow& row) { return row.m_name == name; });
}

bool IsStronger(const MemberRecord& a, const MemberRecord& b) {
  return a.m_processor_share != b.m_processor_share
             ? a.m_processor_share > b.m_processor_share
             : a.m_address < b.m_address;
}

int64_t FindNewestIncarnation(const ServerRow& server) {
  int64_t newest = server.m_entry.m_incarnation;
  for (const int64_t replaced : server.m_replaced_incarnations) {
    newest = std::max(newest, replaced);
  }
  return newest;
}

void LogUnreadableRow(GatewayTables& tables,
                      const std::string& table,
                      const std::string& key,
                      const std::string& error) {
  tables.m_events.push_back(
      {EventNumber::kRowUnreadable,
       {{"table", table}, {"key", key}, {"error", error}}});
}

void LogWithheldConfiguration(GatewayTables& tables) {
  tables.m_events.push_back(
      {EventNumber::kConfigurationWithheld,
       {{"version", tables.m_routes->GetConfig().m_version},
        {"known", tables.m_store_era.m_known_configuration}}});
}

bool IsEligible(const ServerRow& server) {
  return server.m_registered && !server.m_entry.m_draining &&
         !server.m_evacuated && !server.m_leaving;
}

}  // namespace foxtail
