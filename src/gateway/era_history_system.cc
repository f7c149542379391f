#include "gateway/era_history_system.h"

#include <algorithm>
#include <chrono>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Members are asked a few at a time, so that many processes that start together
// do not send requests to all members each.
constexpr size_t kRequestsAtOnce = 32;
constexpr milliseconds kRequestInterval{50};

// Limit on the past servers of a response, which has to fit into one datagram.
constexpr size_t kMaxPastServerBytes = 40 * 1024;  // bytes

// Size of the fields of a past server besides its id.
constexpr size_t kPastServerFieldBytes = 24;  // bytes

// Lists the members that may know the history: first those that have registered
// in the present era, as they were alive after the store came back.
std::vector<std::string> ListCandidates(const GatewayTables& tables) {
  std::vector<const MemberRow*> members;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    if (member.m_record.m_address != tables.m_self.m_address) {
      members.push_back(&member);
    }
  });
  std::ranges::sort(members, [](const MemberRow* a, const MemberRow* b) {
    return a->m_era != b->m_era ? a->m_era > b->m_era
                                : IsStronger(a->m_record, b->m_record);
  });
  std::vector<std::string> addresses;
  for (const MemberRow* member : members) {
    addresses.push_back(member->m_record.m_address);
  }
  return addresses;
}

void SendRequests(GatewayTables& tables,
                  const std::vector<std::string>& candidates) {
  StoreEraState& era = tables.m_store_era;
  SendDatagramCommand command;
  for (size_t i = 0; i < std::min(candidates.size(), kRequestsAtOnce); ++i) {
    command.m_addresses.push_back(
        candidates[era.m_next_candidate++ % candidates.size()]);
  }
  command.m_message =
      HistoryRequest{tables.m_self.m_address, tables.GetMissingRowVersion()};
  tables.m_outbox.emplace_back(std::move(command));
}

// Without a response only the copy is left to go by.
void GiveUp(GatewayTables& tables, size_t candidates, const Now& now) {
  StoreEraState& era = tables.m_store_era;
  era.m_history = EraHistory::kUnknown;
  era.m_operator_rows_kept_until =
      std::max(era.m_operator_rows_kept_until,
               now.m_steady + tables.m_settings.m_era_operator_grace);
  tables.m_events.push_back({EventNumber::kStoreHistoryUnknown,
                             {{"era", tables.GetEra()},
                              {"asked", candidates},
                              {"configuration", era.m_known_configuration}}});
}

// Returns whether the copy may show this server other than it was.
bool MayBeOutOfDate(const GatewayTables& tables, uint64_t row_version) {
  return EraOfVersion(row_version) < tables.GetEra() ||
         row_version <= tables.m_store_era.m_copy_versions[kServerRows];
}

// The servers that left last come first.
std::vector<PastServer> ListPastServers(const GatewayTables& tables) {
  std::vector<std::pair<TimePoint, PastServer>> servers;
  for (const auto& [id, gone] : tables.m_gone_servers) {
    if (gone.m_era < tables.GetEra()) {
      servers.push_back({gone.m_gone_at, {id, gone.m_incarnation, false}});
    }
  }
  tables.m_servers.ForEach([&](ServerId, const ServerRow& server) {
    const bool left = !server.m_registered || server.m_ended;
    if ((left || server.m_entry.m_draining) &&
        MayBeOutOfDate(tables, server.m_row_version)) {
      servers.push_back(
          {left ? server.m_deregistered_since : server.m_draining_since,
           {server.m_entry.m_id,
            left ? FindNewestIncarnation(server) : server.m_entry.m_incarnation,
            !left}});
    }
  });
  std::ranges::sort(servers, std::greater(),
                    [](const auto& server) { return server.first; });
  std::vector<PastServer> listed;
  size_t bytes = 0;
  for (auto& [since, server] : servers) {
    bytes += kPastServerFieldBytes + server.m_id.size();
    if (bytes > kMaxPastServerBytes) {
      break;
    }
    listed.push_back(std::move(server));
  }
  return listed;
}

void TakeOver(GatewayTables& tables,
              const HistoryResponse& response,
              const Now& now) {
  StoreEraState& era = tables.m_store_era;
  era.m_history = EraHistory::kKnown;
  era.m_copy_versions = response.m_copy_versions;
  era.m_operator_rows_kept_until =
      now.m_steady + milliseconds(response.m_operator_rows_kept_ms);
  era.m_kept_evacuations = {response.m_kept_evacuations.begin(),
                            response.m_kept_evacuations.end()};
  for (const PastServer& server : response.m_past_servers) {
    if (server.m_draining) {
      era.m_draining_servers[server.m_id] = server.m_incarnation;
    } else {
      tables.m_gone_servers[server.m_id] = {server.m_incarnation, now.m_steady,
                                            tables.GetEra() - 1};
    }
  }
  tables.m_events.push_back(
      {EventNumber::kStoreHistoryKnown,
       {{"era", tables.GetEra()},
        {"configuration", era.m_known_configuration},
        {"evacuations", response.m_kept_evacuations.size()},
        {"servers", response.m_past_servers.size()}}});
}

}  // namespace

void EraHistorySystem::Run(GatewayTables& tables, const Now& now) {
  StoreEraState& era = tables.m_store_era;
  if (era.m_history != EraHistory::kPending || !tables.IsLoaded(kClusterRows)) {
    return;
  }
  const std::vector<std::string> candidates = ListCandidates(tables);
  if (era.m_history_wait_until == TimePoint()) {
    era.m_history_wait_until =
        now.m_steady + tables.m_settings.m_era_history_timeout;
  }
  if (candidates.empty() || now.m_steady >= era.m_history_wait_until) {
    GiveUp(tables, candidates.size(), now);
    return;
  }
  if (now.m_steady >= era.m_next_history_request_at) {
    era.m_next_history_request_at = now.m_steady + kRequestInterval;
    SendRequests(tables, candidates);
  }
  tables.WakeAt(
      std::min(era.m_next_history_request_at, era.m_history_wait_until));
}

bool EraHistorySystem::MayApply(const GatewayTables& tables, WatchedKind kind) {
  return kind == kClusterRows ||
         tables.m_store_era.m_history != EraHistory::kPending;
}

std::optional<HistoryResponse> EraHistorySystem::OnRequest(
    const GatewayTables& tables,
    const Now& now) {
  const StoreEraState& era = tables.m_store_era;
  if (era.m_history != EraHistory::kKnown) {
    return std::nullopt;
  }
  HistoryResponse response;
  response.m_era_version = tables.GetMissingRowVersion();
  response.m_configuration = GetKnownConfiguration(tables);
  response.m_complete =
      tables.IsLoaded(kOperatorRows) && tables.IsLoaded(kServerRows);
  if (response.m_complete) {
    response.m_copy_versions = era.m_copy_versions;
    const Duration kept =
        std::max(Duration(0), era.m_operator_rows_kept_until - now.m_steady);
    response.m_operator_rows_kept_ms = static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(kept).count());
    response.m_kept_evacuations = {era.m_kept_evacuations.begin(),
                                   era.m_kept_evacuations.end()};
    response.m_past_servers = ListPastServers(tables);
  }
  return response;
}

void EraHistorySystem::OnResponse(GatewayTables& tables,
                                  const HistoryResponse& response,
                                  const Now& now) {
  OnConfigurationKnown(tables, response.m_configuration);
  if (tables.m_store_era.m_history == EraHistory::kPending &&
      response.m_complete) {
    TakeOver(tables, response, now);
  }
}

void EraHistorySystem::OnConfigurationKnown(GatewayTables& tables,
                                            uint64_t version) {
  const bool was_usable = tables.IsConfigurationUsable();
  StoreEraState& era = tables.m_store_era;
  era.m_known_configuration = std::max(era.m_known_configuration, version);
  if (was_usable && !tables.IsConfigurationUsable()) {
    LogWithheldConfiguration(tables);
    tables.m_snapshot_due = true;
  }
}

uint64_t EraHistorySystem::GetKnownConfiguration(const GatewayTables& tables) {
  return std::max(tables.m_store_era.m_known_configuration,
                  tables.m_routes ? tables.m_routes->GetConfig().m_version : 0);
}

}  // namespace foxtail
