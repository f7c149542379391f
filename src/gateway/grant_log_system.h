#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Logs what becomes of moves, grant calls and release calls. Keeps the number
/// of lines bounded when many ranges change at once. Runs at the leader only.
class GrantLogSystem {
 public:
  /// Logs what has been summed up and is due.
  static void Run(GatewayTables& tables, const Now& now);

  /// Logs the moves of a service that were decided on in one step.
  static void OnMovesStarted(GatewayTables& tables,
                             const std::string& service,
                             const std::vector<StartedMove>& moves);

  /// Logs soon how many owners of a service, taken over from an earlier leader,
  /// have confirmed their grants.
  static void OnTakeoverStarted(ServiceRow& service, const Now& now);

  /// Logs soon that the owner of a range has confirmed its grant.
  static void OnGrantConfirmed(GatewayTables& tables,
                               const RangeRow& row,
                               const Now& now);

  /// Logs a call with any outcome but `kDone`: the first one of a server and
  /// outcome at once, those that follow as sums.
  static void OnCallFailed(GatewayTables& tables,
                           const FailedCall& call,
                           const Now& now);
};

}  // namespace foxtail
