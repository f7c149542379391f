#include "control/control_tables.h"

namespace foxtail {

CellId FindCell(const ControlTables& tables, const std::string& name) {
  return tables.m_cells.FindIf(
      [&](const CellRow& cell) { return cell.m_name == name; });
}

bool HoldsAuthority(const CellRow& cell, TimePoint now) {
  return cell.m_lease.m_phase == LeasePhase::kHolding &&
         now < cell.m_lease.m_authority_until;
}

bool CanDecide(const CellRow& cell, TimePoint now) {
  return HoldsAuthority(cell, now) &&
         cell.m_assignment.m_phase == AssignmentPhase::kReady;
}

Duration AddClockDrift(const ControlSettings& settings, Duration duration) {
  return std::chrono::duration_cast<Duration>(duration *
                                              (1.0 + settings.m_clock_drift));
}

bool ConfigIsFresh(const ControlTables& tables, const CellRow& cell) {
  return tables.m_config.m_loaded &&
         tables.m_config.m_last_poll_sent_at >= cell.m_taken_over_at;
}

}  // namespace foxtail
