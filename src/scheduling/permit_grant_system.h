#pragma once

#include "scheduling/permit_tables.h"
#include "scheduling/waiting_order.h"

namespace foxtail {

/// Gives the free permits of all servers to waiting requests.
class PermitGrantSystem {
 public:
  static void Run(PermitTables& tables, TimePoint now);

 private:
  static void GrantForServer(PermitTables& tables,
                             ScheduledServerId id,
                             bool after_group,
                             TimePoint now);
  static void GrantForGroup(PermitTables& tables,
                            ServerGroupId id,
                            TimePoint now);
  static void Grant(PermitTables& tables,
                    const WaitingOrder::Next& next,
                    ScheduledServerId server_id,
                    TimePoint now);
};

}  // namespace foxtail
