#pragma once

#include <optional>

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Passes changed rows on from the leader to the members. Only the leader
/// watches the store then; members watch it themselves while they do not hear a
/// leader that does.
class RelaySystem {
 public:
  /// Changes were taken in from the store: the leader passes them on. `after`
  /// is the newest change that was known before.
  static void OnRead(GatewayTables& tables,
                     WatchedKind kind,
                     uint64_t after,
                     const RowsResult& result,
                     const Now& now);

  /// Returns the rows of the news that are to be taken in, if any are.
  static std::optional<RowsResult> OnRelayedRows(GatewayTables& tables,
                                                 RelayedRows news,
                                                 const Now& now);

  /// Returns whether this daemon's reads are recent enough to pass changes on.
  static bool IsRelaying(const GatewayTables& tables, const Now& now);

  /// Returns whether this daemon must watch the store itself.
  static bool MustWatch(const GatewayTables& tables, const Now& now);

  /// Returns whether a table is to be read without waiting for changes.
  static bool IsProbeDue(const GatewayTables& tables,
                         WatchedKind kind,
                         const Now& now);
};

}  // namespace foxtail
