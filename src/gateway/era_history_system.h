#pragma once

#include <optional>

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Keeps a process that starts after the store has come back from an old copy
/// from using what the copy holds in place of what was in force before: it asks
/// the members and waits for a response before it applies the rows of operators
/// and servers.
class EraHistorySystem {
 public:
  /// Asks the members while the history is pending, and ends the wait.
  static void Run(GatewayTables& tables, const Now& now);

  /// Returns whether rows of this table may be applied.
  static bool MayApply(const GatewayTables& tables, WatchedKind kind);

  /// Returns the response to another process, or nothing if this process does
  /// not know the history.
  static std::optional<HistoryResponse> OnRequest(const GatewayTables& tables,
                                                  const Now& now);

  static void OnResponse(GatewayTables& tables,
                         const HistoryResponse& response,
                         const Now& now);

  /// Records that another process has had this version of the configuration in
  /// force.
  static void OnConfigurationKnown(GatewayTables& tables, uint64_t version);

  /// Returns the newest version of the configuration that is known to have been
  /// in force anywhere.
  static uint64_t GetKnownConfiguration(const GatewayTables& tables);
};

}  // namespace foxtail
