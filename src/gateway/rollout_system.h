#pragma once

#include <optional>
#include <string>

#include "gateway/gateway_tables.h"

namespace foxtail {

/// How an operators' order was read.
struct OrderReading {
  /// Its row was written just before.
  bool m_as_change = false;

  /// Its row may be of the copy from which the store came back.
  bool m_may_be_of_copy = false;
};

/// Rollouts of new versions of services: the leader moves the traffic to the
/// servers of the ordered version in steps, or back if they prove bad.
class RolloutSystem {
 public:
  static void Run(GatewayTables& tables, const Now& now);

  /// Applies an operators' order, or its removal.
  static void ApplyOrder(GatewayTables& tables,
                         const std::string& service,
                         std::optional<RolloutOrder> order,
                         const OrderReading& reading,
                         const Now& now);

  /// Applies a record of the store. `key` is the key of its row.
  static void ApplyRecord(GatewayTables& tables,
                          const StoredRow& stored,
                          const EraKey& key,
                          const Now& now);

  /// The store has entered another era: the records are written again.
  static void OnEraChanged(GatewayTables& tables, const Now& now);

  /// Handles the result of writing a record.
  static void OnRecordWritten(GatewayTables& tables,
                              const RowWrite& write,
                              const WriteResult& result,
                              const Now& now);

  /// Handles the result of reading the row that `OnStatusWritten` is about.
  static void OnStatusRead(GatewayTables& tables,
                           const ReadRolloutStatusCommand& command,
                           const RowsResult& result,
                           const Now& now);

  /// Handles the result of writing a rollout's state for the operators.
  static void OnStatusWritten(GatewayTables& tables,
                              const WriteRolloutStatusCommand& command,
                              const WriteResult& result,
                              const Now& now);

  /// Sends what this host has seen of the running rollouts to the leader.
  static void SendReport(GatewayTables& tables,
                         std::vector<RolloutCounts> counts,
                         const Now& now);

  /// Handles a member's report at the leader. Returns the rollbacks that the
  /// member may not know yet.
  static std::optional<RolloutNotice> OnReport(GatewayTables& tables,
                                               const RolloutReport& report,
                                               const Now& now);

  /// Applies rollbacks that the leader has decided on, and at the leader newer
  /// records that a member knows and the store has lost.
  static void OnNotice(GatewayTables& tables, const RolloutNotice& notice);
};

/// Returns the rollout that applies to a service, or nothing.
std::optional<RoutedRollout> FindRollout(const GatewayTables& tables,
                                         const std::string& service);

/// Returns whether a server's version may own keys of its service.
bool MayOwnKeys(const GatewayTables& tables, const ServerRow& server);

}  // namespace foxtail
