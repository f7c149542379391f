#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Sends grant and release calls to backend servers: advances moves through
/// their phases and renews grants. Runs at the leader only.
class RangeGrantSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// Handles the outcome of a grant call.
  static void OnGranted(GatewayTables& tables,
                        const GrantCommand& command,
                        ServerCallOutcome outcome,
                        const Now& now);

  /// Handles the outcome of a release call. `handover` holds the previous
  /// owner's data for the new one, or is empty.
  static void OnReleased(GatewayTables& tables,
                         const ReleaseCommand& command,
                         ServerCallOutcome outcome,
                         const std::string& handover,
                         const Now& now);
};

}  // namespace foxtail
