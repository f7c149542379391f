#include "control/crash_system.h"

namespace foxtail {
namespace {

CrashRow& FindOrAddCrash(ControlTables& tables,
                         CellId cell_id,
                         uint64_t fingerprint) {
  auto id = tables.m_crashes.FindIf([&](const CrashRow& row) {
    return row.m_cell == cell_id && row.m_suspect.m_fingerprint == fingerprint;
  });
  if (!id.IsValid()) {
    CrashRow row;
    row.m_cell = cell_id;
    row.m_suspect.m_fingerprint = fingerprint;
    id = tables.m_crashes.Insert(row);
  }
  return tables.m_crashes.Get(id);
}

// A quarantined request stays quarantined until its retention time is over.
void ClearSuspect(ControlTables& tables, CellId cell_id, uint64_t fingerprint) {
  tables.m_crashes.ForEach([&](auto id, const CrashRow& row) {
    if (row.m_cell == cell_id && !row.m_quarantined &&
        row.m_suspect.m_fingerprint == fingerprint) {
      tables.m_crashes.Erase(id);
    }
  });
}

void ApplyReport(ControlContext& context,
                 CellId cell_id,
                 CellRow& cell,
                 const CrashSuspect& report) {
  ControlTables& tables = context.m_tables;
  if (report.m_cleared) {
    ClearSuspect(tables, cell_id, report.m_fingerprint);
    cell.m_routes_dirty = true;
    return;
  }
  CrashRow& row = FindOrAddCrash(tables, cell_id, report.m_fingerprint);
  row.m_retained_until = context.m_now.m_steady + tables.m_settings.m_retention;
  row.m_suspect.m_shared_crashes += report.m_shared_crashes;
  row.m_suspect.m_solo_crashes += report.m_solo_crashes;
  cell.m_routes_dirty = true;
  if (!row.m_quarantined &&
      row.m_suspect.m_solo_crashes >= tables.m_settings.m_quarantine_crashes) {
    row.m_quarantined = true;
    context.m_outbox.m_events.push_back(
        {EventNumber::kRequestCondemned,
         {{"cell", cell.m_name},
          {"fingerprint", std::to_string(report.m_fingerprint)}}});
  }
}

}  // namespace

void CrashSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  for (const ReceivedSyncRequest& received : context.m_inbox.m_sync_requests) {
    const CellId id = FindCell(tables, received.m_request.m_cell);
    CellRow* cell = tables.m_cells.Find(id);
    if (!cell || !CanDecide(*cell, context.m_now.m_steady)) {
      continue;
    }
    for (const CrashSuspect& report : received.m_request.m_suspects) {
      ApplyReport(context, id, *cell, report);
    }
  }
  tables.m_crashes.ForEach([&](auto id, const CrashRow& row) {
    if (context.m_now.m_steady >= row.m_retained_until) {
      tables.m_cells.Get(row.m_cell).m_routes_dirty = true;
      tables.m_crashes.Erase(id);
    }
  });
}

}  // namespace foxtail
