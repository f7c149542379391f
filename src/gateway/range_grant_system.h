#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// At the leader: carries moves through their phases and renews grants.
class RangeGrantSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// A grant ended.
  static void OnGranted(GatewayTables& tables,
                        const GrantCommand& command,
                        ServerCallOutcome outcome,
                        const Now& now);

  /// A release ended.
  static void OnReleased(GatewayTables& tables,
                         const ReleaseCommand& command,
                         ServerCallOutcome outcome,
                         const std::string& handover,
                         const Now& now);
};

}  // namespace foxtail
