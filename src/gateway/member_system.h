#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Keeps this daemon listed as a member. At the leader, answers members'
/// reports with tokens and with how fresh its own knowledge is.
class MemberSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// The write of a member row ended.
  static void OnMemberWritten(GatewayTables& tables,
                              const RowWrite& write,
                              const WriteResult& result,
                              const Now& now);

  /// The traffic thread has a report for the leader.
  static void SendReport(GatewayTables& tables,
                         MemberReport report,
                         const Now& now);

  /// At the leader: a member's report arrived. Returns the answer, if any.
  static std::optional<ReportResponse> OnReport(GatewayTables& tables,
                                                const MemberReport& report,
                                                const Now& now);

  /// The leader's answer arrived.
  static void OnReportResponse(GatewayTables& tables,
                               const ReportResponse& digest,
                               const Now& now);
};

}  // namespace foxtail
