#include "control/crash_system.h"

namespace foxtail {
namespace {

CrashRow& FindOrAdd(ControlTables& tables,
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

// A condemned request stays condemned until its time is over.
void Clear(ControlTables& tables, CellId cell_id, uint64_t fingerprint) {
  tables.m_crashes.ForEach([&](auto id, const CrashRow& row) {
    if (row.m_cell == cell_id && !row.m_quarantined &&
        row.m_suspect.m_fingerprint == fingerprint) {
      tables.m_crashes.Erase(id);
    }
  });
}

void TakeIn(ControlContext& context,
            CellId cell_id,
            CellRow& cell,
            const CrashSuspect& report) {
  ControlTables& tables = context.m_tables;
  if (report.m_cleared) {
    Clear(tables, cell_id, report.m_fingerprint);
    cell.m_changed = true;
    return;
  }
  CrashRow& row = FindOrAdd(tables, cell_id, report.m_fingerprint);
  row.m_until = context.m_now.m_steady + tables.m_settings.m_retention;
  row.m_suspect.m_shared_crashes += report.m_shared_crashes;
  row.m_suspect.m_solo_crashes += report.m_solo_crashes;
  cell.m_changed = true;
  if (!row.m_quarantined &&
      row.m_suspect.m_solo_crashes >= tables.m_settings.m_condemn_crashes) {
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
  for (const SyncAsked& asked : context.m_inbox.m_syncs) {
    const CellId id = FindCell(tables, asked.m_request.m_cell);
    CellRow* cell = tables.m_cells.Find(id);
    if (!cell || !CanDecide(*cell, context.m_now.m_steady)) {
      continue;
    }
    for (const CrashSuspect& report : asked.m_request.m_suspects) {
      TakeIn(context, id, *cell, report);
    }
  }
  tables.m_crashes.ForEach([&](auto id, const CrashRow& row) {
    if (context.m_now.m_steady >= row.m_until) {
      tables.m_cells.Get(row.m_cell).m_changed = true;
      tables.m_crashes.Erase(id);
    }
  });
}

}  // namespace foxtail
