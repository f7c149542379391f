#pragma once

#include <string>
#include <vector>

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Chooses the backend server of a request that any server of a group can run.
/// Answers the loads in which many hosts choose the same server at once, and in
/// which servers differ in speed, are cold or fail quickly.
class ServerChoice {
 public:
  /// Returns the server with room that should get the next request, or an
  /// invalid id if none has room.
  static ScheduledServerId Choose(PermitTables& tables,
                                  const ServerGroupRow& group,
                                  const std::vector<std::string>& excluded,
                                  TimePoint now);
};

}  // namespace foxtail
