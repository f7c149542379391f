#include "gateway/member_system.h"

#include <algorithm>
#include <limits>

#include "gateway/relay_system.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

uint32_t WholeMilliseconds(Duration duration) {
  constexpr int64_t kMost = std::numeric_limits<uint32_t>::max() - 1;
  const auto whole = std::chrono::duration_cast<milliseconds>(duration);
  return static_cast<uint32_t>(std::clamp<int64_t>(whole.count(), 0, kMost));
}

void RegisterSelf(GatewayTables& tables, const Now& now) {
  if (tables.m_member_listed || tables.m_member_busy || tables.m_stopping ||
      tables.m_progress[kClusterRows].m_read_up_to == 0) {
    return;
  }
  if (now.m_steady < tables.m_member_next) {
    tables.WakeAt(tables.m_member_next);
    return;
  }
  tables.m_member_busy = true;
  RowWrite write{kClusterTable, kMemberPrefix + tables.m_self.m_address,
                 tables.m_member_version, EncodeRecord(tables.m_self)};
  tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
}

void DropSilentMembers(GatewayTables& tables, const Now& now) {
  if (!tables.IsLeading(now)) {
    return;
  }
  tables.m_members.ForEach([&](MemberId, MemberRow& member) {
    if (member.m_record.m_address == tables.m_self.m_address) {
      return;
    }
    if (member.m_heard == TimePoint()) {
      member.m_heard = now.m_steady;  // the lease is new: give it time
    }
    const TimePoint drop_at =
        member.m_heard + tables.m_settings.m_member_silence;
    if (now.m_steady < drop_at) {
      tables.WakeAt(drop_at);
      return;
    }
    member.m_heard = now.m_steady;
    RowWrite write{kClusterTable, kMemberPrefix + member.m_record.m_address,
                   member.m_row_version, std::nullopt};
    tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
  });
}

// Members that are not heard may be alive and use an even part of each rate by
// themselves.
double HeardPart(const GatewayTables& tables, const Now& now) {
  size_t heard = 0;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    const Duration silence = now.m_steady - member.m_heard;
    heard += silence < tables.m_settings.m_unheard_after ? 1 : 0;
  });
  const size_t listed = std::max<size_t>(1, tables.m_members.size());
  return static_cast<double>(heard) / static_cast<double>(listed);
}

TokenResponse ServeTokens(GatewayTables& tables,
                          const MemberReport& report,
                          const Now& now) {
  TokenResponse response;
  response.m_token_ttl = tables.m_settings.m_token_life;
  if (!tables.m_routes) {
    return response;
  }
  const double part = HeardPart(tables, now);
  const DispatcherIdentity member{report.m_address, report.m_incarnation};
  for (const TokenDemand& demand : report.m_demands) {
    const RoutedWorkspace* workspace =
        tables.m_routes->FindWorkspace(demand.m_workspace);
    if (workspace) {
      response.m_grants.push_back(tables.m_tokens->Serve(
          {workspace->m_name, workspace->m_rate * part, workspace->m_burst},
          member, demand, now.m_steady));
    }
  }
  return response;
}

void TakeLoads(GatewayTables& tables, const MemberReport& report) {
  for (const ServiceLoad& load : report.m_loads) {
    ServiceRow* row =
        tables.m_services.Find(FindService(tables, load.m_service));
    for (const SliceLoad& slice : load.m_slices) {
      if (row && slice.m_slice < kSlices) {
        row->m_counts[slice.m_slice] += slice.m_requests;
      }
    }
  }
  for (const ServerSpeed& speed : report.m_speeds) {
    ServerRow* server = FindServer(tables, speed.m_server);
    if (server) {
      server->m_speed.Add(speed.m_answers, speed.m_seconds, speed.m_slowdown);
    }
  }
}

void NoteProgress(GatewayTables& tables,
                  const LeaderDigest& digest,
                  const Now& now) {
  for (uint32_t kind = 0; kind < kWatchedKinds; ++kind) {
    tables.m_progress[kind].NoteChange(digest.m_changes[kind], now.m_steady);
  }
  // All changes that the leader knew of are known here, so this daemon's
  // knowledge is as fresh as the leader's was when it answered, which was after
  // the report was sent.
  if (digest.m_changes[kOperatorRows] <=
      tables.m_progress[kOperatorRows].m_read_up_to) {
    const BootTime read_at =
        BootTime(BootTime::duration(digest.m_report_sent)) -
        milliseconds(digest.m_operator_read_age);
    tables.m_operators_read_at = std::max(tables.m_operators_read_at, read_at);
  }
}

}  // namespace

void MemberSystem::Run(GatewayTables& tables, const Now& now) {
  RegisterSelf(tables, now);
  DropSilentMembers(tables, now);
}

void MemberSystem::OnMemberWritten(GatewayTables& tables,
                                   const RowWrite& write,
                                   const WriteResult& result,
                                   const Now& now) {
  if (write.m_key != kMemberPrefix + tables.m_self.m_address) {
    return;  // a silent member was dropped; the watch reports it
  }
  tables.m_member_busy = false;
  tables.m_member_next = now.m_steady + tables.m_settings.m_store_retry;
  if (result.m_outcome == StoreOutcome::kDone) {
    tables.m_member_listed = write.m_value.has_value();
    tables.m_member_version = result.m_version;
  }
}

void MemberSystem::SendReport(GatewayTables& tables,
                              MemberReport report,
                              const Now& now) {
  report.m_address = tables.m_self.m_address;
  report.m_incarnation = tables.m_self.m_incarnation;
  report.m_sequence = ++tables.m_report_sequence;
  report.m_sent = now.m_boot.time_since_epoch().count();
  if (tables.m_lead.m_phase == LeadPhase::kLeading) {
    if (const auto digest = OnReport(tables, report, now)) {
      OnDigest(tables, *digest, now);
    }
  } else if (!tables.m_lead.m_record.m_address.empty()) {
    tables.m_outbox.emplace_back(
        SendCommand{{tables.m_lead.m_record.m_address}, std::move(report)});
  }
}

std::optional<LeaderDigest> MemberSystem::OnReport(GatewayTables& tables,
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
  member->m_heard = now.m_steady;
  member->m_report_sequence = report.m_sequence;
  TakeLoads(tables, report);
  LeaderDigest digest;
  digest.m_address = tables.m_self.m_address;
  digest.m_epoch = tables.m_lead.m_record.m_epoch;
  digest.m_sequence = report.m_sequence;
  digest.m_report_sent = report.m_sent;
  digest.m_lead_version = tables.m_lead.m_row_version;
  digest.m_leaving = tables.m_stopping;
  digest.m_relaying =
      !tables.m_stopping && RelaySystem::IsRelaying(tables, now);
  for (uint32_t kind = 0; kind < kWatchedKinds; ++kind) {
    digest.m_changes[kind] = tables.m_progress[kind].m_newest_change;
  }
  // One more than the whole milliseconds, so that it is never too young.
  digest.m_operator_read_age =
      WholeMilliseconds(now.m_boot - tables.m_operators_read_at) + 1;
  digest.m_servers_contact_age =
      WholeMilliseconds(now.m_steady - tables.m_servers_contact_since);
  digest.m_tokens = ServeTokens(tables, report, now);
  return digest;
}

void MemberSystem::OnDigest(GatewayTables& tables,
                            const LeaderDigest& digest,
                            const Now& now) {
  if (digest.m_epoch < tables.m_lead.m_record.m_epoch) {
    return;
  }
  NoteProgress(tables, digest, now);
  tables.m_relayed_until = TimePoint();
  if (digest.m_relaying) {
    tables.m_relayed_until = now.m_steady + tables.m_settings.m_relay_silence;
    // The rows are the leader's, so its contact with the store counts.
    tables.m_servers_contact_since =
        now.m_steady - milliseconds(digest.m_servers_contact_age);
  }
  // The clocks of this process tell how long ago the report was sent.
  const Duration ago =
      now.m_boot - BootTime(BootTime::duration(digest.m_report_sent));
  tables.m_leader_words.push_back({digest.m_tokens, now.m_steady - ago});
}

}  // namespace foxtail
