#pragma once

#include <array>
#include <memory>

#include "control/assignment_system.h"
#include "control/config_system.h"
#include "control/crash_system.h"
#include "control/dispatcher_system.h"
#include "control/grant_system.h"
#include "control/handover_system.h"
#include "control/lease_system.h"
#include "control/peer_system.h"
#include "control/placement_system.h"
#include "control/publish_system.h"
#include "control/server_system.h"
#include "control/token_system.h"

namespace foxtail {

/// Updates the control state: runs the systems that make all decisions of the
/// control thread, in a fixed order. A tick performs no input or output and
/// reads no clock.
class ControlTick {
 public:
  /// `placement` chooses the owners of partitions.
  explicit ControlTick(std::unique_ptr<PlacementStrategy> placement);

  /// Runs all systems once over the tables.
  void Run(ControlTables& tables,
           const ControlInbox& inbox,
           ControlOutbox& outbox,
           const Now& now);

 private:
  ConfigSystem m_config;
  PeerSystem m_peers;
  LeaseSystem m_leases;
  AssignmentSystem m_assignments;
  DispatcherSystem m_dispatchers;
  ServerSystem m_servers;
  PlacementSystem m_placement;
  HandoverSystem m_handovers;
  GrantSystem m_grants;
  TokenSystem m_tokens;
  CrashSystem m_crashes;
  PublishSystem m_publisher;
};

}  // namespace foxtail
