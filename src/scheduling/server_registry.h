#pragma once

#include <string>
#include <vector>

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Applies the registered servers to the tables.
class ServerRegistry {
 public:
  /// Replaces the servers of a service and forms their groups anew.
  static void SetServers(PermitTables& tables,
                         const std::string& service,
                         const std::vector<SchedulableServer>& servers,
                         TimePoint now);

 private:
  static void InsertOrUpdate(PermitTables& tables,
                             const std::string& service,
                             const SchedulableServer& entry);
  static void EraseQueue(PermitTables& tables, PermitQueueId id, TimePoint now);
  static void FormGroups(PermitTables& tables,
                         const std::string& service,
                         TimePoint now);
};

}  // namespace foxtail
