#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Reads the owners of each sharded service from the store, and records changes
/// there before the leader acts on them. Runs at the leader only.
class OwnersSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// Writes the owners that this process knows in the new era before it acts on
  /// them, in case it goes on leading.
  static void OnEraChanged(GatewayTables& tables);

  /// Handles the result of reading an owners row.
  static void OnRead(GatewayTables& tables,
                     const std::string& service_name,
                     const RowsResult& result,
                     const Now& now);

  /// Handles the result of writing an owners row.
  static void OnWritten(GatewayTables& tables,
                        const std::string& service_name,
                        const WriteResult& result,
                        const Now& now);
};

}  // namespace foxtail
