#include "gateway/owners_system.h"

#include <algorithm>

#include "core/error.h"
#include "gateway/grant_log_system.h"

namespace foxtail {
namespace {

std::string OwnersKey(const GatewayTables& tables, const ServiceRow& service) {
  return EncodeEraKey({tables.GetEra(), kOwnersPrefix + service.m_name});
}

void AddServices(GatewayTables& tables) {
  for (const RoutedService& service : tables.m_routes->GetConfig().m_services) {
    if (service.m_sharded && !FindService(tables, service.m_name).IsValid()) {
      ServiceRow row;
      row.m_name = service.m_name;
      tables.m_services.Insert(std::move(row));
    }
  }
}

// Returns when all grants of a leader have expired whose authority has ended at
// `ended_at`. Its last call may arrive at the server after that.
TimePoint FindGrantsEnd(const GatewayTables& tables, TimePoint ended_at) {
  const OwnershipSettings& settings = tables.m_settings;
  return ended_at + settings.m_server_call_timeout +
         std::chrono::duration_cast<Duration>(settings.m_outage_grant_ttl *
                                              (1 + settings.m_clock_drift));
}

void RestoreRanges(GatewayTables& tables,
                   ServiceId id,
                   const OwnersRecord& record,
                   TimePoint granted_until,
                   const Now& now) {
  for (const OwnedRange& owned : record.m_ranges) {
    RangeRow row;
    row.m_service = id;
    row.m_range = owned.m_range;
    row.m_owner = owned.m_server;
    row.m_owner_incarnation = owned.m_incarnation;
    row.m_taken_over = true;
    row.m_previous_owners = owned.m_previous_owners;
    row.m_late_grant_recorded = std::ranges::any_of(
        owned.m_previous_owners, &PreviousOwner::m_has_late_grant);
    row.m_may_be_granted = !row.m_late_grant_recorded;
    row.m_phase = RangePhase::kRecording;
    row.m_record_number = record.m_number + 1;
    row.m_granted_until = granted_until;
    row.m_late_grant_until = granted_until;
    row.m_move_started_at = now.m_steady;
    tables.m_ranges.Insert(std::move(row));
  }
}

OwnersRecord BuildRecord(const GatewayTables& tables,
                         ServiceId id,
                         uint64_t number) {
  OwnersRecord record;
  record.m_epoch = tables.m_leader_lease.m_record.m_epoch;
  record.m_number = number;
  tables.m_ranges.ForEach([&](RangeId, const RangeRow& row) {
    if (row.m_service == id) {
      record.m_ranges.push_back(
          {row.m_range, row.m_owner, row.m_owner_incarnation,
           row.m_phase == RangePhase::kStable, row.m_previous_owners});
    }
  });
  std::ranges::sort(record.m_ranges, {}, &OwnedRange::m_range);
  return record;
}

void WriteOwners(GatewayTables& tables, ServiceId id, ServiceRow& service) {
  service.m_call_in_flight = true;
  service.m_dirty = false;
  const OwnersRecord record =
      BuildRecord(tables, id, ++service.m_record_number);
  RowWrite write{kClusterTable, OwnersKey(tables, service),
                 service.m_row_version, EncodeRecord(record)};
  tables.m_outbox.emplace_back(WriteRowCommand{std::move(write)});
}

void ReadOwners(GatewayTables& tables, ServiceRow& service) {
  service.m_call_in_flight = true;
  tables.m_outbox.emplace_back(ReadRowCommand{
      kClusterTable, OwnersKey(tables, service), tables.m_store_era.m_era});
}

// Returns whether rows of older eras, whose owners count if the present era has
// none yet, may not have been read.
bool MayMissOlderRows(const GatewayTables& tables) {
  return tables.GetEra() > 0 && !tables.IsLoaded(kClusterRows);
}

// Restores the owners in an era without a record. Moves since the newest known
// record may be lost, so a range may have any holder: one without a name, which
// cannot be released. The leaders of older eras had authority until the lease
// TTL was over, and one of this era has made no grants without a record.
void RestoreFromOlderEras(GatewayTables& tables, ServiceId id, const Now& now) {
  ServiceRow& service = tables.m_services.Get(id);
  const TimePoint granted_until =
      FindGrantsEnd(tables, tables.m_store_era.m_changed_at +
                                tables.m_settings.m_leader_lease_ttl);
  const PreviousOwner unknown{"", false};
  OwnersRecord record;
  if (const auto known = tables.m_owners.find(service.m_name);
      known != tables.m_owners.end()) {
    record = known->second;
  }
  service.m_record_number = record.m_number;
  for (OwnedRange& owned : record.m_ranges) {
    std::erase(owned.m_previous_owners, unknown);
    owned.m_previous_owners.push_back(unknown);
  }
  RestoreRanges(tables, id, record, granted_until, now);
  service.m_dirty = !record.m_ranges.empty();
  if (service.m_dirty) {
    GrantLogSystem::OnTakeoverStarted(service, now);
  } else if (now.m_steady < granted_until) {
    RangeRow row;
    row.m_service = id;
    row.m_range = {0, kShardKeys - 1};
    row.m_previous_owners = {unknown};
    row.m_granted_until = granted_until;
    row.m_move_started_at = now.m_steady;
    tables.m_ranges.Insert(std::move(row));
  }
}

// Starts the next phase of the ranges whose new owner is now recorded. Returns
// the number of moves among them.
size_t AdvanceRecordedRanges(GatewayTables& tables,
                             ServiceId id,
                             uint64_t number) {
  size_t moves = 0;
  tables.m_ranges.ForEach([&](RangeId, RangeRow& row) {
    if (row.m_service == id && row.m_phase == RangePhase::kRecording &&
        row.m_record_number <= number) {
      row.m_phase = row.m_previous_owners.empty() ? RangePhase::kGranting
                                                  : RangePhase::kReleasing;
      row.m_next_server_call_at = TimePoint();
      moves += row.m_taken_over ? 0 : 1;
    }
  });
  return moves;
}

// A record without moves only confirms moves that are logged as such.
void LogRecordedMoves(GatewayTables& tables,
                      const ServiceRow& service,
                      size_t moves) {
  if (moves > 0) {
    tables.m_events.push_back(
        {EventNumber::kAssignmentRecorded,
         {{"cell", service.m_name},
          {"epoch", tables.m_leader_lease.m_record.m_epoch},
          {"version", service.m_record_number},
          {"moves", moves}}});
  }
}

}  // namespace

void OwnersSystem::Run(GatewayTables& tables, const Now& now) {
  if (!tables.m_routes || !tables.IsLeading(now)) {
    return;
  }
  AddServices(tables);
  tables.m_services.ForEach([&](ServiceId id, ServiceRow& service) {
    const bool due = !service.m_row_loaded || service.m_dirty;
    if (service.m_call_in_flight || !due) {
      return;
    }
    if (!service.m_row_loaded && MayMissOlderRows(tables)) {
      return;
    }
    if (now.m_steady < service.m_next_store_call_at) {
      tables.WakeAt(service.m_next_store_call_at);
    } else if (!service.m_row_loaded || service.m_write_outcome_unknown) {
      ReadOwners(tables, service);
    } else {
      WriteOwners(tables, id, service);
    }
  });
}

void OwnersSystem::OnEraChanged(GatewayTables& tables) {
  tables.m_services.ForEach([&tables](ServiceId, ServiceRow& service) {
    service.m_call_in_flight = false;
    service.m_write_outcome_unknown = false;
    service.m_row_version = tables.GetMissingRowVersion();
    service.m_dirty = service.m_row_loaded;
    service.m_next_store_call_at = TimePoint();
  });
}

void OwnersSystem::OnRead(GatewayTables& tables,
                          const std::string& service_name,
                          const RowsResult& result,
                          const Now& now) {
  const ServiceId id = FindService(tables, service_name);
  ServiceRow* service = tables.m_services.Find(id);
  if (!service) {
    return;
  }
  service->m_call_in_flight = false;
  service->m_next_store_call_at =
      now.m_steady + tables.m_settings.m_store_retry_delay;
  if (result.m_outcome != StoreOutcome::kDone) {
    return;
  }
  OwnersRecord record;
  if (!result.m_rows.empty()) {
    try {
      record = DecodeOwnersRecord(result.m_rows.front().m_value);
    } catch (const Error& failure) {
      LogUnreadableRow(tables, kClusterTable, OwnersKey(tables, *service),
                       failure.what());
      return;
    }
    service->m_row_version = result.m_rows.front().m_version;
  }
  service->m_next_store_call_at = now.m_steady;
  if (service->m_write_outcome_unknown) {
    // Only the row's version is needed; the ranges in memory are newer.
    service->m_write_outcome_unknown = false;
    service->m_dirty = true;
    return;
  }
  service->m_row_loaded = true;
  if (result.m_rows.empty() && tables.m_store_era.m_changed) {
    service->m_row_version = tables.GetMissingRowVersion();
    RestoreFromOlderEras(tables, id, now);
    return;
  }
  service->m_record_number = record.m_number;
  RestoreRanges(tables, id, record, FindGrantsEnd(tables, now.m_steady), now);
  service->m_dirty = !record.m_ranges.empty();
  if (service->m_dirty) {
    GrantLogSystem::OnTakeoverStarted(*service, now);
  }
}

void OwnersSystem::OnWritten(GatewayTables& tables,
                             const std::string& service_name,
                             const WriteResult& result,
                             const Now& now) {
  const ServiceId id = FindService(tables, service_name);
  ServiceRow* service = tables.m_services.Find(id);
  if (!service) {
    return;
  }
  service->m_call_in_flight = false;
  if (result.m_outcome == StoreOutcome::kDone) {
    service->m_row_version = result.m_version;
    tables.m_progress[kClusterRows].RecordKnownVersion(result.m_version,
                                                       now.m_steady);
    LogRecordedMoves(
        tables, *service,
        AdvanceRecordedRanges(tables, id, service->m_record_number));
    return;
  }
  service->m_dirty = true;
  service->m_write_outcome_unknown =
      result.m_outcome == StoreOutcome::kVersionMismatch ||
      result.m_outcome == StoreOutcome::kUnknown;
  service->m_next_store_call_at =
      now.m_steady + tables.m_settings.m_store_retry_delay;
}

}  // namespace foxtail
