#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Acquires, renews and releases the leader lease.
class LeadershipSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// Handles the result of reading the leader lease row.
  static void OnRead(GatewayTables& tables,
                     const RowsResult& result,
                     const Now& now);

  /// Handles the result of writing the leader lease row.
  static void OnWritten(GatewayTables& tables,
                        const WriteResult& result,
                        const Now& now);

  /// Forgets what messages of an older era have told, once the first response
  /// of the store has shown the era.
  static void OnEraKnown(GatewayTables& tables);

  /// Gives up the lease of the era before, when the store has entered another.
  static void OnEraChanged(GatewayTables& tables, const Now& now);

  /// Handles a leader's response to a report.
  static void OnReportResponse(GatewayTables& tables,
                               const ReportResponse& response,
                               const Now& now);

  /// Handles the announcement of a new leader.
  static void OnAnnouncement(GatewayTables& tables,
                             const LeaderAnnouncement& announcement,
                             const Now& now);
};

}  // namespace foxtail
