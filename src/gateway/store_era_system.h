#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Follows the era of the store, which rises when the store comes back from an
/// old copy. What was decided in an older era must not take effect in a newer
/// one.
class StoreEraSystem {
 public:
  /// Handles the era of a result. Returns whether the result may be used: if it
  /// shows an era, it must be the newest.
  static bool OnResult(GatewayTables& tables,
                       StoreOutcome outcome,
                       uint64_t era,
                       const Now& now);

  /// Handles a leader's message with this version of the store. Returns whether
  /// the leader is not of an older era.
  static bool OnMessage(GatewayTables& tables,
                        uint64_t version,
                        const Now& now);

  /// Handles a row of the gateways' own tables that belongs to an older era: it
  /// shows that the era has changed.
  static void OnOlderRow(GatewayTables& tables, const Now& now);

  /// Removes rows of older eras, at the leader.
  static void Run(GatewayTables& tables, const Now& now);
};

}  // namespace foxtail
