#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Takes, renews and gives back the leader lease.
class LeadershipSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// The read of the lead row ended.
  static void OnRead(GatewayTables& tables,
                     const RowsResult& result,
                     const Now& now);

  /// The write of the lead row ended.
  static void OnWritten(GatewayTables& tables,
                        const WriteResult& result,
                        const Now& now);

  /// A leader's datagram arrived.
  static void OnReportResponse(GatewayTables& tables,
                               const ReportResponse& digest,
                               const Now& now);
};

}  // namespace foxtail
