#pragma once

#include <string>
#include <vector>

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Members that receive changes through one of them.
struct RelayGroup {
  /// Receives the change from the leader and sends it to the followers.
  std::string m_relay;
  std::vector<std::string> m_followers;
};

/// Divides the members other than this process into groups within their data
/// centres, so that neither the leader's link nor the links between data
/// centres carry a change once for each member. The strongest members of a data
/// centre are its relays; a member that has fallen silent is in no group but
/// its own.
std::vector<RelayGroup> BuildRelayGroups(const GatewayTables& tables,
                                         const Now& now);

}  // namespace foxtail
