#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Runs at the leader: decides which server should own which key ranges and
/// starts the moves. While ranges of a service are moving, the system plans
/// again for this service only if a range has lost its owner.
class RangePlacementSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);
};

/// Returns whether a server may keep its keys: the server is eligible, and
/// calls to it have not been failing for as long as the unreachable timeout.
bool MayKeepKeys(const GatewayTables& tables,
                 const std::string& server_id,
                 const Now& now);

}  // namespace foxtail
