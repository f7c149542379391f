#pragma once

#include <cstdint>

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Decides how many permits a backend server has. Answers the loads in which
/// more requests reach a server than it can run: hosts that send independently,
/// another scheduler, a full, cold or slow server, and a server that does not
/// respond.
class ServerWindow {
 public:
  ServerWindow(const PermitTables& tables,
               const ScheduledServerRow& server,
               TimePoint now)
      : m_tables(tables), m_server(server), m_now(now) {}

  /// Returns the number of permits that may be in use.
  uint32_t Size() const;

  /// Returns whether another permit may be given.
  bool HasRoom() const;

  /// Returns the number of requests at the server, from its permits.
  uint32_t InUse() const;

  /// Returns whether the server does not respond and is only probed.
  bool IsProbed() const;

  /// Returns the largest window of a server, its reserve included.
  static uint32_t FullSize(const PermitTables& tables,
                           const ScheduledServerRow& server);

 private:
  bool IsClosed() const;
  bool IsCold() const;
  bool IsSlow() const;
  bool Always() const { return true; }
  double None() const { return 0; }
  double One() const { return 1; }
  double HalfOfSlots() const;
  double SlotsOnly() const;
  double SlotsAndReserve() const;

  const PermitTables& m_tables;
  const ScheduledServerRow& m_server;
  TimePoint m_now;
};

}  // namespace foxtail
