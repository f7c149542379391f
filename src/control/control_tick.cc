#include "control/control_tick.h"

namespace foxtail {

ControlTick::ControlTick(std::unique_ptr<PlacementStrategy> placement)
    : m_placement(std::move(placement)) {}

void ControlTick::Run(ControlTables& tables,
                      const ControlInbox& inbox,
                      ControlOutbox& outbox,
                      const Now& now) {
  ControlContext context{tables, inbox, outbox, now};
  // Each system acts on the decisions of the earlier ones in the same tick.
  m_config.Run(context);       // 1. Apply the configuration in force.
  m_peers.Run(context);        // 2. Record live control processes.
  m_leases.Run(context);       // 3. Acquire, renew, release leases.
  m_assignments.Run(context);  // 4. Load and record owners.
  m_dispatchers.Run(context);  // 5. Apply reports; appoint dispatchers.
  m_servers.Run(context);      // 6. Probe servers; decide which are up.
  m_placement.Run(context);    // 7. Decide which partitions move.
  m_handovers.Run(context);    // 8. Advance moves.
  m_grants.Run(context);       // 9. Renew fenced grants.
  m_tokens.Run(context);       // 10. Issue tokens.
  m_crashes.Run(context);      // 11. Attribute crashes to requests.
  m_publisher.Run(context);    // 12. Build routes; respond to syncs.
}

}  // namespace foxtail
