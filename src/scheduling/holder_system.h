#pragma once

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Keeps the state of each host that asks for permits: applies its messages,
/// and ends what it no longer needs. Answers lost, repeated and reordered
/// datagrams, and hosts that restart, fall silent or are frozen.
class HolderSystem {
 public:
  /// Applies a message.
  static void Receive(PermitTables& tables,
                      const PermitRequests& message,
                      TimePoint now);

  /// Ends permits whose deadlines have passed, drops the waiting requests of
  /// silent hosts, and forgets ended tickets and hosts.
  static void Run(PermitTables& tables, TimePoint now);

 private:
  /// Returns the host's run, or an invalid id if the message is from a run that
  /// has been replaced.
  static AskingHostId FindOrInsertHost(PermitTables& tables,
                                       const PermitRequests& message,
                                       TimePoint now);
  static void ApplyReturn(PermitTables& tables,
                          AskingHostId host_id,
                          const PermitReturn& returned,
                          TimePoint now);
  static void ApplyRequest(PermitTables& tables,
                           AskingHostId host_id,
                           const PermitRequest& request,
                           TimePoint now);
  static void Repeat(PermitTables& tables,
                     const AskingHostRow& host,
                     PermitTicket ticket,
                     const TicketState& state);
  static PermitQueueId FindQueue(const PermitTables& tables,
                                 const PermitRequest& request);

  /// Compares the listed tickets with the known ones.
  static void Reconcile(PermitTables& tables,
                        AskingHostId host_id,
                        const PermitRequests& message,
                        TimePoint now);

  /// Counts a permit that another run of the scheduler has given.
  static void AdoptPermit(PermitTables& tables,
                          AskingHostId host_id,
                          const HeldPermit& held,
                          TimePoint now);
  static void DropWaiting(PermitTables& tables, AskingHostRow& host);
};

}  // namespace foxtail
