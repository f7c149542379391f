#include "gateway/directory_system.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>

#include "core/error.h"
#include "gateway/cold_start_limit.h"
#include "gateway/rollout_system.h"
#include "routing/routing_rules.h"
#include "runtime/address.h"

namespace foxtail {
namespace {

// The row of a deregistered server is kept for longer than any grant that the
// server may still have.
constexpr std::chrono::seconds kRemovalDelay{15};

// Registrations that expired during an outage of the store are back about two
// seconds after the outage ends.
constexpr std::chrono::milliseconds kReregistrationTimeout{2200};
constexpr std::chrono::milliseconds kOutageRecoveryPeriod{2500};

// Limit on how far in the past a change may count from: longer than the grace
// period of a draining server, and short against `kRemovalDelay`.
constexpr std::chrono::milliseconds kMaxBackdating{1000};

// How long a registration of an earlier incarnation is held: longer than a
// server takes to register again once its registration is lost, and short
// against the time for which servers run.
constexpr std::chrono::milliseconds kHoldTime{2500};

// Number of replaced incarnations that are remembered for a server.
constexpr size_t kMaxReplacedIncarnations = 8;

// Returns since when this process has known that the servers' rows being
// applied had changed. It may have heard so before it could read them.
TimePoint ServerChangeTime(const GatewayTables& tables, const Now& now) {
  const TimePoint behind = tables.m_progress[kServerRows].m_behind_since;
  return behind == TimePoint()
             ? now.m_steady
             : std::max(behind, now.m_steady - kMaxBackdating);
}

// Logs a change of a server's registration, at the leader only: the log of a
// member would grow with hosts times servers. The members' logs tell up to
// which version of the store they have read.
void LogServerChange(GatewayTables& tables,
                     EventNumber event,
                     const BackendServerEntry& entry) {
  if (tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader) {
    tables.m_events.push_back(
        {event, {{"cell", entry.m_service}, {"server", entry.m_id}}});
  }
}

// Logs, at the leader only, that a server has ended because a younger one is at
// its address. The younger one may have the same id.
void LogReplacedServer(GatewayTables& tables,
                       const BackendServerEntry& entry,
                       const BackendServerEntry& successor) {
  if (tables.m_leader_lease.m_phase != LeaderLeasePhase::kLeader) {
    return;
  }
  tables.m_events.push_back(
      {EventNumber::kServerReplaced,
       {{"cell", entry.m_service},
        {"address", entry.m_address},
        {"server", entry.m_id},
        {"incarnation", entry.m_incarnation},
        {"successor", successor.m_id},
        {"successor_incarnation", successor.m_incarnation}}});
}

void Deregister(GatewayTables& tables, ServerRow& server, TimePoint since) {
  server.m_missing = false;
  server.m_registered = false;
  server.m_deregistered_since = since;
  LogServerChange(tables, EventNumber::kServerUnlisted, server.m_entry);
}

// A younger server, or one whose row was written later if both started at the
// same time.
bool IsYounger(const ServerRow& a, const ServerRow& b) {
  return std::tie(a.m_entry.m_incarnation, a.m_row_version) >
         std::tie(b.m_entry.m_incarnation, b.m_row_version);
}

// An address is used again only after its server has ended, so all servers at
// an address have ended but the youngest. The versions of the rows don't tell
// which one that is: a row of a server that has ended may be written late. The
// rows stay until they have been silent for some time. Servers of services that
// are not configured don't count: other writers may register such.
void EndReplacedServers(GatewayTables& tables, const Now& now) {
  if (!tables.m_routes) {
    return;
  }
  const auto counts = [&tables](const ServerRow& server) {
    return tables.m_routes->FindService(server.m_entry.m_service) != nullptr;
  };
  std::unordered_map<std::string_view, const ServerRow*> youngest_at;
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    if (!counts(server)) {
      return;
    }
    const ServerRow*& youngest = youngest_at[server.m_entry.m_address];
    if (!youngest || IsYounger(server, *youngest)) {
      youngest = &server;
    }
  });
  tables.m_servers.ForEach([&](ServerId, ServerRow& server) {
    if (!counts(server) || youngest_at[server.m_entry.m_address] == &server) {
      return;
    }
    server.m_ended = true;
    const BackendServerEntry& youngest =
        youngest_at[server.m_entry.m_address]->m_entry;
    if (server.m_replaced_by.empty()) {
      LogReplacedServer(tables, server.m_entry, youngest);
    }
    server.m_replaced_by = youngest.m_id;
    if (server.m_registered) {
      Deregister(tables, server, now.m_steady);
    }
  });
}

void HandleMissingServer(GatewayTables& tables,
                         ServerRow& server,
                         const Now& now) {
  // The row of a server that is there may have been overwritten by a late one,
  // and have expired with it.
  const bool was_overwritten = server.m_held.has_value();
  server.m_held.reset();
  if (!server.m_registered || server.m_missing) {
    return;
  }
  const bool may_register_again =
      was_overwritten ||
      now.m_steady - tables.m_store_reachable_since < kOutageRecoveryPeriod;
  if (may_register_again) {
    server.m_missing = true;
    server.m_missing_until = now.m_steady + kReregistrationTimeout;
  } else {
    Deregister(tables, server, ServerChangeTime(tables, now));
  }
}

bool WasReplaced(const ServerRow& server, int64_t incarnation) {
  return std::ranges::count(server.m_replaced_incarnations, incarnation) > 0;
}

// Returns whether a registration may be a late one of an incarnation that has
// ended. The time of the start alone does not decide: the clock of a server may
// have stepped back between two starts. A server that has ended or is not
// registered loses nothing by a registration of another incarnation.
bool IsDoubtful(const ServerRow& server, const BackendServerEntry& entry) {
  if (entry.m_incarnation == server.m_entry.m_incarnation) {
    return false;
  }
  return WasReplaced(server, entry.m_incarnation) ||
         (entry.m_incarnation < server.m_entry.m_incarnation &&
          server.m_registered && !server.m_ended);
}

// Holds a doubtful registration. Returns whether it is to be used, since it was
// written again after the hold time: an incarnation that has ended writes no
// more by then.
bool HoldRegistration(GatewayTables& tables,
                      ServerRow& server,
                      const BackendServerEntry& entry,
                      uint64_t row_version,
                      const Now& now) {
  std::optional<HeldRegistration>& held = server.m_held;
  if (!held || held->m_entry.m_incarnation != entry.m_incarnation) {
    held = {entry, row_version, now.m_steady};
    if (tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader) {
      tables.m_events.push_back({EventNumber::kRegistrationHeld,
                                 {{"cell", entry.m_service},
                                  {"server", entry.m_id},
                                  {"incarnation", entry.m_incarnation},
                                  {"current", server.m_entry.m_incarnation}}});
    }
  } else if (row_version != held->m_row_version) {
    held->m_entry = entry;
    held->m_row_version = row_version;
    return now.m_steady - held->m_since >= kHoldTime;
  }
  return false;
}

// Returns whether a held registration is to be used without being written
// again. One of an incarnation that was in force before is not: the later one
// has been seen to follow it.
bool IsHoldOver(const ServerRow& server, const Now& now) {
  return server.m_held &&
         !WasReplaced(server, server.m_held->m_entry.m_incarnation) &&
         now.m_steady - server.m_held->m_since >= kHoldTime;
}

void RecordReplacedIncarnation(ServerRow& server) {
  std::vector<int64_t>& replaced = server.m_replaced_incarnations;
  std::erase(replaced, server.m_entry.m_incarnation);
  replaced.push_back(server.m_entry.m_incarnation);
  if (replaced.size() > kMaxReplacedIncarnations) {
    replaced.erase(replaced.begin());
  }
}

// Puts a registration in force. Returns whether it shows a server that was not
// registered before or that has started again.
bool PutInForce(GatewayTables& tables,
                ServerRow& server,
                BackendServerEntry entry,
                uint64_t row_version,
                const Now& now) {
  const bool is_new = server.m_entry.m_id.empty();
  const bool restarted = server.m_entry.m_incarnation != entry.m_incarnation;
  server.m_held.reset();
  if (server.m_ended && !restarted) {
    return false;
  }
  if (!is_new && entry.m_incarnation > server.m_entry.m_incarnation) {
    LogReplacedServer(tables, server.m_entry, entry);
  }
  if (!is_new && restarted) {
    RecordReplacedIncarnation(server);
    std::erase(server.m_replaced_incarnations, entry.m_incarnation);
  }
  const bool appeared = is_new || restarted || !server.m_registered;
  if (appeared) {
    server.m_consecutive_failures = 0;
    server.m_ended = false;
    server.m_replaced_by.clear();
  }
  server.m_leaving = server.m_leaving && !restarted;
  if (entry.m_draining && !server.m_entry.m_draining) {
    server.m_draining_since = ServerChangeTime(tables, now);
    LogServerChange(tables, EventNumber::kServerDraining, entry);
  }
  server.m_cold_until = now.m_steady + entry.m_cold_left;
  server.m_registered = true;
  server.m_missing = false;
  server.m_entry = std::move(entry);
  server.m_row_version = row_version;
  server.m_evacuated =
      tables.m_evacuated.contains(server.m_entry.m_data_centre);
  return appeared;
}

// Uses held registrations whose hold time has passed.
void EndHolds(GatewayTables& tables, const Now& now) {
  bool appeared = false;
  tables.m_servers.ForEach([&](ServerId, ServerRow& server) {
    if (!server.m_held) {
      return;
    }
    if (IsHoldOver(server, now)) {
      const HeldRegistration held = *server.m_held;
      PutInForce(tables, server, held.m_entry, held.m_row_version, now);
      server.m_cold_until = held.m_since + held.m_entry.m_cold_left;
      appeared = true;
    } else if (now.m_steady < server.m_held->m_since + kHoldTime) {
      tables.WakeAt(server.m_held->m_since + kHoldTime);
    }
  });
  if (appeared) {
    EndReplacedServers(tables, now);
    tables.m_snapshot_due = true;
  }
}

// One line for all such routes: a configuration may have hundreds.
void LogUnusableRoutes(GatewayTables& tables, const RoutingConfig& config) {
  const std::vector<RuleFinding> findings =
      CheckRule(config, kUnusableRouteRule);
  if (findings.empty()) {
    return;
  }
  const RouteRow& first = config.m_routes.at(findings[0].m_location.m_index);
  tables.m_events.push_back({EventNumber::kRoutesUnusable,
                             {{"version", config.m_version},
                              {"routes", findings.size()},
                              {"first", first.m_name},
                              {"reason", first.m_unusable_reason}}});
}

void UpdateEvacuations(GatewayTables& tables, const Now& now) {
  tables.m_servers.ForEach([&](ServerId, ServerRow& server) {
    const bool evacuated =
        tables.m_evacuated.contains(server.m_entry.m_data_centre);
    if (evacuated && !server.m_evacuated && !server.m_entry.m_draining) {
      server.m_draining_since = now.m_steady;
    }
    server.m_evacuated = evacuated;
  });
}

bool HasKey(const std::vector<StoredRow>& rows, const std::string& key) {
  return std::ranges::any_of(rows, [&key](const StoredRow& row) {
    return row.m_key == key && !row.m_removed;
  });
}

void ApplyMember(GatewayTables& tables, const StoredRow& row) {
  const std::string address =
      row.m_key.substr(std::string_view(kMemberPrefix).size());
  const MemberId id = tables.m_members.FindIf([&](const MemberRow& member) {
    return member.m_record.m_address == address;
  });
  const bool own = address == tables.m_self.m_address;
  if (row.m_removed) {
    if (id.IsValid()) {
      tables.m_members.Erase(id);
    }
    if (own) {
      tables.m_self_registered = false;
      tables.m_self_row_version = 0;
    }
    return;
  }
  MemberRecord record;
  try {
    record = DecodeMemberRecord(row.m_value);
    ParseAddress(record.m_address);
  } catch (const Error& failure) {
    LogUnreadableRow(tables, kClusterTable, row.m_key, failure.GetDetail());
    return;
  }
  if (own) {
    tables.m_self_row_version = row.m_version;
    tables.m_self_registered = record == tables.m_self;
  }
  const MemberId kept = id.IsValid() ? id : tables.m_members.Insert({});
  MemberRow& member = tables.m_members.Get(kept);
  if (member.m_record.m_incarnation != record.m_incarnation) {
    member.m_report_sequence = 0;
    member.m_contact.OnProcessReplaced();
  }
  member.m_record = std::move(record);
  member.m_row_version = row.m_version;
}

void ApplyOwners(GatewayTables& tables, const StoredRow& row) {
  const std::string service =
      row.m_key.substr(std::string_view(kOwnersPrefix).size());
  if (row.m_removed) {
    tables.m_owners.erase(service);
    return;
  }
  try {
    OwnersRecord record = DecodeOwnersRecord(row.m_value);
    OwnersRecord& current = tables.m_owners[service];
    if (record.m_number >= current.m_number) {
      current = std::move(record);
    }
  } catch (const Error& failure) {
    LogUnreadableRow(tables, kClusterTable, row.m_key, failure.GetDetail());
  }
}

bool IsReferenced(const GatewayTables& tables, const std::string& server) {
  return tables.m_ranges
      .FindIf([&server](const RangeRow& row) {
        return row.m_owner == server ||
               std::ranges::count(row.m_previous_owners, server,
                                  &PreviousOwner::m_server) > 0;
      })
      .IsValid();
}

}  // namespace

void DirectorySystem::ApplyConfiguration(GatewayTables& tables,
                                         const StoredRow& row) const {
  if (row.m_removed) {
    return;  // the last configuration stays in force
  }
  try {
    RoutingConfig config = m_decoder.DecodeConfiguration(row.m_value);
    if (tables.m_routes && !IsNewer(config, tables.m_routes->GetConfig())) {
      return;
    }
    const uint64_t version = config.m_version;
    tables.m_routes = std::make_shared<const RouteIndex>(std::move(config));
    tables.m_events.push_back(
        {EventNumber::kConfigurationInForce, {{"version", version}}});
    LogUnusableRoutes(tables, tables.m_routes->GetConfig());
  } catch (const Error& failure) {
    LogUnreadableRow(tables, m_decoder.OperatorTable(), row.m_key,
                     failure.GetDetail());
  }
}

// An order that cannot be read leaves the one before in force.
void DirectorySystem::ApplyRollout(GatewayTables& tables,
                                   const std::string& service,
                                   const StoredRow& row,
                                   bool complete,
                                   const Now& now) const {
  std::optional<RolloutOrder> order;
  try {
    if (!row.m_removed) {
      order = m_decoder.DecodeRollout(service, row.m_value);
      order->m_number = row.m_version;
    }
  } catch (const Error& failure) {
    LogUnreadableRow(tables, m_decoder.OperatorTable(), row.m_key,
                     failure.GetDetail());
    return;
  }
  RolloutSystem::ApplyOrder(tables, service, std::move(order), !complete, now);
}

void DirectorySystem::ApplyOperatorRows(GatewayTables& tables,
                                        const std::vector<StoredRow>& rows,
                                        bool complete,
                                        const Now& now) const {
  std::set<std::string> evacuated;
  if (!complete) {
    evacuated = tables.m_evacuated;
  }
  const auto routes_before = tables.m_routes;
  for (const StoredRow& row : rows) {
    std::string subject;
    switch (m_decoder.ClassifyRow(row.m_key, subject)) {
      case OperatorRowKind::kConfiguration:
        ApplyConfiguration(tables, row);
        break;
      case OperatorRowKind::kEvacuation:
        if (row.m_removed) {
          evacuated.erase(subject);
        } else {
          evacuated.insert(subject);
        }
        break;
      case OperatorRowKind::kRollout:
        ApplyRollout(tables, subject, row, complete, now);
        break;
      case OperatorRowKind::kOther:
        break;
    }
  }
  if (complete) {
    tables.m_rollouts.ForEach([&](RolloutId, const RolloutRow& rollout) {
      const bool is_listed =
          std::ranges::any_of(rows, [&](const StoredRow& row) {
            std::string subject;
            return !row.m_removed &&
                   m_decoder.ClassifyRow(row.m_key, subject) ==
                       OperatorRowKind::kRollout &&
                   subject == rollout.m_service;
          });
      if (!is_listed) {
        RolloutSystem::ApplyOrder(tables, rollout.m_service, std::nullopt,
                                  false, now);
      }
    });
  }
  if (tables.m_routes != routes_before) {
    EndReplacedServers(tables, now);  // services may have been added
  }
  if (evacuated != tables.m_evacuated) {
    std::string names;
    for (const std::string& name : evacuated) {
      names += (names.empty() ? "" : ",") + name;
    }
    tables.m_events.push_back(
        {EventNumber::kEvacuationChanged, {{"data_centres", names}}});
    tables.m_evacuated = std::move(evacuated);
    UpdateEvacuations(tables, now);
  }
  tables.m_snapshot_due = true;
}

bool DirectorySystem::ApplyServer(GatewayTables& tables,
                                  const StoredRow& row,
                                  const Now& now) const {
  ServerRow* server = FindServer(tables, row.m_key);
  if (row.m_removed) {
    if (server) {
      HandleMissingServer(tables, *server, now);
    }
    return false;
  }
  BackendServerEntry entry;
  try {
    entry = m_decoder.DecodeServer(row.m_key, row.m_value);
  } catch (const Error& failure) {
    // A server with an unreadable registration counts as not registered.
    LogUnreadableRow(tables, m_decoder.ServerTable(), row.m_key,
                     failure.GetDetail());
    if (server) {
      Deregister(tables, *server, ServerChangeTime(tables, now));
    }
    return false;
  }
  if (!server) {
    const ServerId id = tables.m_servers.Insert({});
    tables.m_servers_by_id[row.m_key] = id;
    server = &tables.m_servers.Get(id);
    LogServerChange(tables, EventNumber::kServerUp, entry);
  } else if (IsDoubtful(*server, entry) &&
             !HoldRegistration(tables, *server, entry, row.m_version, now)) {
    return false;
  }
  return PutInForce(tables, *server, std::move(entry), row.m_version, now);
}

void DirectorySystem::ApplyServerRows(GatewayTables& tables,
                                      const std::vector<StoredRow>& rows,
                                      bool complete,
                                      const Now& now) const {
  bool appeared = false;
  for (const StoredRow& row : rows) {
    appeared = ApplyServer(tables, row, now) || appeared;
  }
  if (appeared) {
    EndReplacedServers(tables, now);
  }
  if (complete) {
    tables.m_servers.ForEach([&](ServerId, ServerRow& server) {
      if (!HasKey(rows, server.m_entry.m_id)) {
        HandleMissingServer(tables, server, now);
      }
    });
  }
  tables.m_snapshot_due = true;
}

void DirectorySystem::ApplyClusterRows(GatewayTables& tables,
                                       const std::vector<StoredRow>& rows,
                                       bool complete,
                                       const Now& now) const {
  for (const StoredRow& row : rows) {
    if (row.m_key.starts_with(kMemberPrefix)) {
      ApplyMember(tables, row);
    } else if (row.m_key.starts_with(kOwnersPrefix)) {
      ApplyOwners(tables, row);
    } else if (row.m_key.starts_with(kRolloutRecordPrefix)) {
      RolloutSystem::ApplyRecord(tables, row, now);
    }
  }
  if (complete) {
    tables.m_members.ForEach([&](MemberId id, const MemberRow& member) {
      if (!HasKey(rows, kMemberPrefix + member.m_record.m_address)) {
        tables.m_members.Erase(id);
      }
    });
    tables.m_rollouts.ForEach([&](RolloutId, RolloutRow& rollout) {
      if (!HasKey(rows, kRolloutRecordPrefix + rollout.m_service)) {
        rollout.m_record_version = 0;
        rollout.m_record_stored = false;
      }
    });
    tables.m_self_registered =
        tables.m_self_registered &&
        HasKey(rows, kMemberPrefix + tables.m_self.m_address);
  }
  tables.m_snapshot_due = true;
}

void DirectorySystem::Run(GatewayTables& tables, const Now& now) {
  EndHolds(tables, now);
  tables.m_servers.ForEach([&](ServerId id, ServerRow& server) {
    if (server.m_missing && now.m_steady < server.m_missing_until) {
      tables.WakeAt(server.m_missing_until);
    } else if (server.m_missing) {
      Deregister(tables, server, now.m_steady);
      tables.m_snapshot_due = true;
    }
    if (server.m_registered) {
      return;
    }
    const TimePoint remove_at = server.m_deregistered_since + kRemovalDelay;
    if (now.m_steady < remove_at) {
      tables.WakeAt(remove_at);
    } else if (!IsReferenced(tables, server.m_entry.m_id)) {
      if (tables.m_tokens) {
        tables.m_tokens->Forget(
            BuildColdStartLimit(server.m_entry.m_id, 0).m_name);
      }
      tables.m_servers_by_id.erase(server.m_entry.m_id);
      tables.m_servers.Erase(id);
    }
  });
}

}  // namespace foxtail
