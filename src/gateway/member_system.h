#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Keeps this process registered as a member and exchanges reports with the
/// leader. The leader responds to reports with rate tokens and the versions and
/// ages of the rows that it has read, and deregisters silent members.
class MemberSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// Handles the result of writing a member row.
  static void OnMemberWritten(GatewayTables& tables,
                              const RowWrite& write,
                              const WriteResult& result,
                              const Now& now);

  /// Sends a report of the traffic thread to the leader.
  static void SendReport(GatewayTables& tables,
                         MemberReport report,
                         const Now& now);

  /// Handles a member's report at the leader. Returns the response, if any.
  static std::optional<ReportResponse> OnReport(GatewayTables& tables,
                                                const MemberReport& report,
                                                const Now& now);

  /// Tells the leader which servers are leaving.
  static void SendLeavingServers(GatewayTables& tables,
                                 LeavingServersNotice notice,
                                 const Now& now);

  /// Moves the keys of leaving servers, at the leader.
  static void OnLeavingServers(GatewayTables& tables,
                               const LeavingServersNotice& notice,
                               const Now& now);

  /// Handles the leader's response to a report.
  static void OnReportResponse(GatewayTables& tables,
                               const ReportResponse& response,
                               const Now& now);
};

}  // namespace foxtail
