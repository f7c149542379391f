#pragma once

#include <vector>

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Decides which waiting request is next. Answers the load of a service with
/// too little room, in which urgent requests wait behind others, requests that
/// come too late anyway use the room of those that do not, and the least urgent
/// are never served.
class WaitingOrder {
 public:
  /// The next request, and whether it is the turn of the class that has waited
  /// longest.
  struct Next {
    WaitingRequestId m_id;
    bool m_is_fair_turn = false;
  };

  /// Returns the next request of the queue, without the `skipped` ones, or an
  /// invalid id. Marks requests as late that can no longer meet their targets.
  static Next FindNext(PermitTables& tables,
                       PermitQueueId queue_id,
                       const std::vector<WaitingRequestId>& skipped,
                       TimePoint now);

  /// Records that a request receives a permit.
  static void OnGranted(PermitTables& tables, const Next& next, TimePoint now);
};

}  // namespace foxtail
