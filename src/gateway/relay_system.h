#pragma once

#include <optional>

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Relays changed rows from the leader to the members, so that only the leader
/// watches the store. Members watch the store themselves while they receive no
/// responses from a leader that relays.
class RelaySystem {
 public:
  /// Records the start of this process.
  static void OnStarted(GatewayTables& tables, TimePoint now);

  /// Relays changes that the leader has read from the store. `after` is the
  /// version of the newest change applied before them.
  static void OnRead(GatewayTables& tables,
                     WatchedKind kind,
                     uint64_t after,
                     const RowsResult& result,
                     const Now& now);

  /// Returns the message for the followers that relayed rows name, or nothing
  /// if there are none, and removes them from the message.
  static std::optional<SendDatagramCommand> TakeForward(
      const GatewayTables& tables,
      RelayedRows& relayed);

  /// Applies the relayed changes of owners records, and returns the relayed
  /// rows that are newer than the applied ones. Returns nothing if the message
  /// cannot be applied.
  static std::optional<RowsResult> OnRelayedRows(GatewayTables& tables,
                                                 RelayedRows relayed,
                                                 const Now& now);

  /// Returns whether this process's reads of the store fail.
  static bool IsRefused(const GatewayTables& tables, const Now& now);

  /// Returns whether this process's reads are recent enough to relay changes.
  static bool IsRelaying(const GatewayTables& tables, const Now& now);

  /// Returns whether this process must watch the store itself.
  static bool MustWatch(const GatewayTables& tables, const Now& now);

  /// Records whether a read of a watched table has succeeded.
  static void OnReadOutcome(GatewayTables& tables,
                            WatchedKind kind,
                            bool succeeded,
                            const Now& now);

  /// Records whether the store has answered a call of this process.
  static void OnStoreCall(GatewayTables& tables, bool answered, const Now& now);

  /// Records when the store has answered a call of another process.
  static void OnStoreAnswered(GatewayTables& tables,
                              TimePoint at,
                              const Now& now);

  /// Records that the store is back from an outage.
  static void OnStoreReachable(GatewayTables& tables, const Now& now);

  /// Returns whether a table must be read at once, without waiting for changes.
  static bool IsProbeDue(const GatewayTables& tables,
                         WatchedKind kind,
                         const Now& now);
};

}  // namespace foxtail
