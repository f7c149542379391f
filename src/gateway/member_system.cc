#include "gateway/member_system.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gateway/cold_start_limit.h"
#include "gateway/equal_share_limiter.h"
#include "gateway/era_history_system.h"
#include "gateway/relay_system.h"
#include "gateway/store_era_system.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Interval between summaries of the issued tokens in the log.
constexpr std::chrono::seconds kTokensSummaryPeriod{5};

// Added to the age of a member's last report: the shortest time that a datagram
// takes is not known, nor is the time until issued tokens are used.
constexpr milliseconds kReportAgeMargin{20};

std::string MemberKey(uint64_t era, const std::string& address) {
  return EncodeEraKey({era, kMemberPrefix + address});
}

void RegisterSelf(GatewayTables& tables, const Now& now) {
  if (tables.m_self_registered || tables.m_self_write_in_flight ||
      tables.m_shutting_down || !tables.IsLoaded(kClusterRows)) {
    return;
  }
  if (now.m_steady < tables.m_next_self_write_at) {
    tables.WakeAt(tables.m_next_self_write_at);
    return;
  }
  tables.m_self_write_in_flight = true;
  tables.m_self.m_configuration =
      EraHistorySystem::GetKnownConfiguration(tables);
  RowWrite write{kClusterTable,
                 MemberKey(tables.GetEra(), tables.m_self.m_address),
                 tables.m_self_row_version, EncodeRecord(tables.m_self)};
  tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
}

void DeregisterSilentMembers(GatewayTables& tables, const Now& now) {
  if (!tables.IsLeading(now)) {
    return;
  }
  tables.m_members.ForEach([&](MemberId, MemberRow& member) {
    if (member.m_record.m_address == tables.m_self.m_address ||
        member.m_era != tables.GetEra()) {
      return;
    }
    const Duration timeout = tables.m_settings.m_member_silence_timeout;
    if (member.m_deregister_at == TimePoint()) {
      member.m_deregister_at = now.m_steady + timeout;
    }
    if (now.m_steady < member.m_deregister_at) {
      tables.WakeAt(member.m_deregister_at);
      return;
    }
    member.m_deregister_at = now.m_steady + timeout;
    RowWrite write{kClusterTable,
                   MemberKey(member.m_era, member.m_record.m_address),
                   member.m_row_version, std::nullopt};
    tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
  });
}

// Lets the rates accrue up to now, without the shares of silent members, which
// may use them on their own.
void AdvanceRates(GatewayTables& tables, const Now& now) {
  const TimePoint since = tables.m_rates_advanced_at;
  double accrued = ToSeconds(now.m_steady - since);
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    const Duration silent = member.m_contact.SilentTime(
        since, now.m_steady, tables.m_settings.m_contact_silence_timeout);
    accrued -= ToSeconds(silent) *
               member.m_contact.ShareOfRate(tables.m_members.size());
  });
  tables.m_rates_accrued_for += FromSeconds(std::max(0.0, accrued));
  tables.m_rates_advanced_at = now.m_steady;
}

std::vector<ShareHolder> ListShareHolders(const GatewayTables& tables,
                                          const Now& now) {
  std::vector<ShareHolder> holders;
  holders.reserve(tables.m_members.size());
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    const double part = member.m_contact.ShareOfRate(tables.m_members.size());
    const Duration unreported = member.m_contact.UnreportedTime(
        now.m_steady, tables.m_settings.m_contact_silence_timeout);
    holders.push_back(
        {member.m_record.m_address, part, unreported + kReportAgeMargin});
  });
  return holders;
}

// Logged while reports arrive, so an idle leader is not woken for it.
void LogIssuedTokens(GatewayTables& tables, const Now& now) {
  if (now.m_steady < tables.m_next_tokens_summary_at) {
    return;
  }
  tables.m_next_tokens_summary_at = now.m_steady + kTokensSummaryPeriod;
  std::vector<IssuedTokensSummary> summaries =
      tables.m_tokens->CollectSummaries(now.m_steady);
  summaries.resize(std::min(summaries.size(), kMaxLoggedWorkspaces));
  for (const IssuedTokensSummary& summary : summaries) {
    tables.m_events.push_back(
        {EventNumber::kTokensIssued,
         {{"workspace", summary.m_limit.m_workspace},
          {"rate", std::lround(summary.m_limit.m_rate)},
          {"burst", std::lround(summary.m_limit.m_burst)},
          {"requested", std::lround(summary.m_counts.m_requested)},
          {"issued", std::lround(summary.m_counts.m_issued)},
          {"spent", std::lround(summary.m_counts.m_spent)},
          {"returned", std::lround(summary.m_counts.m_returned)},
          {"share_charged", std::lround(summary.m_counts.m_share_charged)},
          {"stock", std::lround(summary.m_stock)},
          {"outstanding", std::lround(summary.m_outstanding)},
          {"withheld", std::lround(summary.m_withheld)}}});
  }
}

// What the leader knew of a member's use of its shares before a report arrived.
struct ShareUseBefore {
  bool m_heard = false;
  double m_share_of_rate = 0;
  double m_silent_seconds = 0;

  /// When the report was sent.
  TimePoint m_reported_at;
};

// Records a member's report as the newest contact and returns the state before.
ShareUseBefore RecordContact(GatewayTables& tables,
                             MemberRow& member,
                             const MemberReport& report,
                             const Now& now) {
  const OwnershipSettings& settings = tables.m_settings;
  AdvanceRates(tables, now);
  ShareUseBefore before;
  before.m_heard = member.m_contact.WasHeard();
  before.m_share_of_rate =
      member.m_contact.ShareOfRate(tables.m_members.size());
  before.m_silent_seconds = ToSeconds(
      member.m_contact.SilentTime(tables.m_tokens->GetBeganAt(), now.m_steady,
                                  settings.m_contact_silence_timeout));
  member.m_contact.OnReport(BootTime(BootTime::duration(report.m_sent_at)),
                            report.m_members, now);
  before.m_reported_at =
      now.m_steady - member.m_contact.UnreportedTime(
                         now.m_steady, settings.m_contact_silence_timeout);
  member.m_deregister_at = now.m_steady + settings.m_member_silence_timeout;
  member.m_report_sequence = report.m_sequence;
  return before;
}

ShareChargeTerms BuildChargeTerms(const TokenLimit& limit,
                                  const ShareUseBefore& before) {
  ShareChargeTerms terms;
  terms.m_reported_at = before.m_reported_at;
  terms.m_covered =
      limit.m_rate * before.m_share_of_rate * before.m_silent_seconds;
  if (!before.m_heard) {
    // What was used before this leader began counted against its predecessor;
    // a burst may be left to charge.
    terms.m_max_charge =
        std::max(1.0, limit.m_shares_burst * before.m_share_of_rate);
  }
  return terms;
}

TokenResponse IssueTokens(GatewayTables& tables,
                          const MemberReport& report,
                          const ShareUseBefore& before,
                          const Now& now) {
  TokenResponse response;
  response.m_token_ttl = tables.m_settings.m_token_ttl;
  if (!tables.m_routes) {
    return response;
  }
  const std::vector<ShareHolder> holders = ListShareHolders(tables, now);
  const DispatcherIdentity member{report.m_address, report.m_incarnation};
  for (const TokenDemand& demand : report.m_demands) {
    const RoutedWorkspace* workspace =
        tables.m_routes->FindWorkspace(demand.m_workspace);
    const auto cold_start =
        workspace ? std::nullopt
                  : FindColdStartLimit(tables, demand.m_workspace);
    if (cold_start) {
      workspace = &*cold_start;
    }
    if (!workspace) {
      continue;
    }
    const TokenLimit limit{workspace->m_name,
                           workspace->m_rate,
                           workspace->m_burst,
                           tables.m_rates_accrued_for,
                           holders,
                           ComputeSharesBurst(*workspace, holders.size())};
    response.m_grants.push_back(tables.m_tokens->Serve(
        limit, member, demand, BuildChargeTerms(limit, before), now.m_steady));
  }
  LogIssuedTokens(tables, now);
  return response;
}

void RecordLoads(GatewayTables& tables, const MemberReport& report) {
  for (const ServiceLoad& load : report.m_loads) {
    ServiceRow* row =
        tables.m_services.Find(FindService(tables, load.m_service));
    for (const SliceLoad& slice : load.m_slices) {
      static_assert(kSlices > std::numeric_limits<uint16_t>::max());
      if (row) {
        row->m_slice_requests[slice.m_slice] += slice.m_requests;
      }
    }
  }
  for (const ServerSpeed& speed : report.m_speeds) {
    ServerRow* server = FindServer(tables, speed.m_server);
    if (server) {
      server->m_speed.Add(speed.m_responses, speed.m_seconds, speed.m_slowdown);
    }
  }
}

void RecordLeaderProgress(GatewayTables& tables,
                          const ReportResponse& response,
                          const Now& now) {
  for (uint32_t kind = 0; kind < kWatchedKinds; ++kind) {
    tables.m_progress[kind].RecordKnownVersion(
        response.m_last_change_versions[kind], now.m_steady);
  }
  // Where this process has applied all changes that the leader knew when it
  // responded, its rows are as fresh as the leader's were then. The response
  // was made after the report was sent, so ages are counted back from the
  // sending time.
  const BootTime sent_at =
      BootTime(BootTime::duration(response.m_report_sent_at));
  for (uint32_t kind = 0; kind < kWatchedKinds; ++kind) {
    WatchProgress& progress = tables.m_progress[kind];
    if (response.m_last_change_versions[kind] <= progress.m_applied_version) {
      progress.RecordCompleteAt(
          sent_at - milliseconds(response.m_complete_ages_ms[kind]));
    }
  }
  if (response.m_last_change_versions[kOperatorRows] <=
      tables.m_progress[kOperatorRows].m_applied_version) {
    const BootTime read_at =
        sent_at - milliseconds(response.m_operator_read_age_ms);
    tables.m_operators_read_at = std::max(tables.m_operators_read_at, read_at);
    EraHistorySystem::OnConfigurationKnown(tables, response.m_configuration);
  }
}

}  // namespace

void MemberSystem::Run(GatewayTables& tables, const Now& now) {
  RegisterSelf(tables, now);
  DeregisterSilentMembers(tables, now);
}

void MemberSystem::OnMemberWritten(GatewayTables& tables,
                                   const RowWrite& write,
                                   const WriteResult& result,
                                   const Now& now) {
  if (write.m_key != MemberKey(tables.GetEra(), tables.m_self.m_address)) {
    return;  // the removal of a silent member arrives through the watch
  }
  tables.m_self_write_in_flight = false;
  tables.m_next_self_write_at =
      now.m_steady + tables.m_settings.m_store_retry_delay;
  if (result.m_outcome == StoreOutcome::kDone) {
    tables.m_self_registered = write.m_value.has_value();
    tables.m_self_row_version = result.m_version;
  }
}

void MemberSystem::SendReport(GatewayTables& tables,
                              MemberReport report,
                              const Now& now) {
  report.m_address = tables.m_self.m_address;
  report.m_incarnation = tables.m_self.m_incarnation;
  report.m_sequence = ++tables.m_report_sequence;
  report.m_sent_at = now.m_boot.time_since_epoch().count();
  if (const TimePoint answered_at = tables.m_outages.GetLastAnswer();
      answered_at != TimePoint()) {
    report.m_store_answer_age_ms =
        WholeMilliseconds(now.m_steady - answered_at);
  }
  report.m_configuration = EraHistorySystem::GetKnownConfiguration(tables);
  report.m_operator_rows_version =
      tables.m_progress[kOperatorRows].m_last_change_version;
  if (tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader) {
    if (const auto response = OnReport(tables, report, now)) {
      OnReportResponse(tables, *response, now);
    }
  } else if (!tables.m_leader_lease.m_record.m_address.empty()) {
    tables.m_outbox.emplace_back(SendDatagramCommand{
        {tables.m_leader_lease.m_record.m_address}, std::move(report)});
  }
}

std::optional<ReportResponse> MemberSystem::OnReport(GatewayTables& tables,
                                                     const MemberReport& report,
                                                     const Now& now) {
  if (!tables.IsLeading(now)) {
    return std::nullopt;
  }
  const MemberId id = tables.m_members.FindIf([&](const MemberRow& row) {
    return row.m_record.m_address == report.m_address;
  });
  MemberRow* member = tables.m_members.Find(id);
  if (!member || member->m_record.m_incarnation != report.m_incarnation ||
      report.m_sequence <= member->m_report_sequence) {
    return std::nullopt;
  }
  if (report.m_operator_rows_version <=
      tables.m_progress[kOperatorRows].m_applied_version) {
    EraHistorySystem::OnConfigurationKnown(tables, report.m_configuration);
  }
  if (report.m_store_answer_age_ms) {
    RelaySystem::OnStoreAnswered(
        tables, now.m_steady - milliseconds(*report.m_store_answer_age_ms),
        now);
  }
  const ShareUseBefore before = RecordContact(tables, *member, report, now);
  RecordLoads(tables, report);
  ReportResponse response;
  response.m_address = tables.m_self.m_address;
  response.m_epoch = tables.m_leader_lease.m_record.m_epoch;
  response.m_sequence = report.m_sequence;
  response.m_report_sent_at = report.m_sent_at;
  response.m_leader_lease_version = tables.m_leader_lease.m_row_version;
  response.m_shutting_down = tables.m_shutting_down;
  response.m_relaying =
      !tables.m_shutting_down && RelaySystem::IsRelaying(tables, now);
  response.m_refused = RelaySystem::IsRefused(tables, now);
  for (uint32_t kind = 0; kind < kWatchedKinds; ++kind) {
    const WatchProgress& progress = tables.m_progress[kind];
    response.m_last_change_versions[kind] = progress.m_last_change_version;
    response.m_complete_ages_ms[kind] =
        WholeMilliseconds(now.m_boot - progress.m_complete_at) + 1;
  }
  response.m_configuration = EraHistorySystem::GetKnownConfiguration(tables);
  // Rounded up, so that the rows never seem fresher than they are.
  response.m_operator_read_age_ms =
      WholeMilliseconds(now.m_boot - tables.m_operators_read_at) + 1;
  response.m_store_reachable_for_ms =
      WholeMilliseconds(now.m_steady - tables.m_store_reachable_since);
  response.m_tokens = IssueTokens(tables, report, before, now);
  return response;
}

void MemberSystem::SendLeavingServers(GatewayTables& tables,
                                      LeavingServersNotice notice,
                                      const Now& now) {
  if (tables.m_leader_lease.m_phase == LeaderLeasePhase::kLeader) {
    OnLeavingServers(tables, notice, now);
  } else if (!tables.m_leader_lease.m_record.m_address.empty()) {
    tables.m_outbox.emplace_back(SendDatagramCommand{
        {tables.m_leader_lease.m_record.m_address}, std::move(notice)});
  }
}

void MemberSystem::OnLeavingServers(GatewayTables& tables,
                                    const LeavingServersNotice& notice,
                                    const Now& now) {
  if (!tables.IsLeading(now)) {
    return;
  }
  for (const LeavingServer& leaving : notice.m_servers) {
    ServerRow* server = FindServer(tables, leaving.m_id);
    if (!server || server->m_leaving ||
        server->m_entry.m_incarnation != leaving.m_incarnation) {
      continue;
    }
    server->m_leaving = true;
    if (!server->m_entry.m_draining) {
      server->m_draining_since = now.m_steady;
    }
    tables.m_events.push_back(
        {EventNumber::kServerDraining,
         {{"cell", server->m_entry.m_service}, {"server", leaving.m_id}}});
    tables.m_snapshot_due = true;
    tables.WakeAt(now.m_steady);
  }
}

void MemberSystem::OnReportResponse(GatewayTables& tables,
                                    const ReportResponse& response,
                                    const Now& now) {
  if (!StoreEraSystem::OnMessage(tables, response.m_leader_lease_version,
                                 now) ||
      response.m_epoch < tables.m_leader_lease.m_record.m_epoch) {
    return;
  }
  RecordLeaderProgress(tables, response, now);
  // Kept if it has passed: it tells since when this process watches by itself.
  tables.m_relayed_until = std::min(tables.m_relayed_until, now.m_steady);
  if (response.m_relaying) {
    tables.m_relayed_until =
        now.m_steady + tables.m_settings.m_relay_silence_timeout;
    // The rows come from the leader, so an outage of the store matters only if
    // the leader saw the outage.
    tables.m_store_reachable_since =
        now.m_steady - milliseconds(response.m_store_reachable_for_ms);
  }
  // The sending time is in the boot clock; the tokens need the steady clock.
  const Duration report_age =
      now.m_boot - BootTime(BootTime::duration(response.m_report_sent_at));
  tables.m_leader_tokens.push_back(
      {response.m_tokens, now.m_steady - report_age});
}

}  // namespace foxtail
