#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "scheduling/permit_messages.h"

namespace foxtail {

/// Intervals of a `PermitClient`.
struct PermitClientSettings {
  /// A request that has had no answer is sent again after this time.
  Duration m_repeat_interval = std::chrono::milliseconds(100);

  /// A scheduler that has left messages unanswered for this long is passed
  /// over.
  Duration m_silence_timeout = std::chrono::milliseconds(250);

  /// For how long a scheduler is passed over.
  Duration m_avoid_time = std::chrono::seconds(1);

  /// Interval between complete lists of the permits that this host holds from a
  /// scheduler or waits for.
  Duration m_list_interval = std::chrono::milliseconds(400);
};

/// A message and where to send it.
struct AddressedRequests {
  std::string m_address;
  PermitRequests m_message;
};

/// A request for a permit, from asking until it ends.
struct PendingPermitRow {
  PermitRequest m_request;
  TimePoint m_deadline;
  TimePoint m_target_at;

  /// The schedulers to ask, in this order, and the one that is asked now.
  std::vector<std::string> m_schedulers;
  size_t m_current = 0;

  /// When the request is due to be sent again; unset once it was answered.
  std::optional<TimePoint> m_repeat_at;

  /// The last decision; `kQueued` until there is a final one.
  PermitDecision m_decision;
};

/// What this host knows of a scheduler that it uses.
struct SchedulerRow {
  std::string m_address;
  std::vector<PermitReturn> m_returns;

  /// Since when messages that must be answered have not been; unset if there
  /// are none.
  std::optional<TimePoint> m_unanswered_since;
  TimePoint m_avoided_until;
  TimePoint m_next_list_at;

  /// Permits that are held or waited for at this scheduler.
  size_t m_open = 0;

  /// A list must follow although nothing is open any more, since the datagram
  /// that told so may have been lost.
  bool m_list_due = false;
};

/// State of the permits of this host. Decides whom to ask, what to repeat and
/// when a scheduler has fallen silent. Reads no clock and performs no I/O.
class PermitClient {
 public:
  PermitClient(const PermitClientSettings& settings,
               std::string address,
               std::string incarnation);

  /// Asks for a permit. `schedulers` are the addresses to ask, the preferred
  /// one first. Returns the ticket, which the caller must end.
  PermitTicket Ask(PermitRequest request,
                   TimePoint deadline,
                   TimePoint target_at,
                   std::vector<std::string> schedulers,
                   TimePoint now);

  /// Returns the decision on a ticket: `kQueued` while it is open, and
  /// `kUnavailable` if no scheduler has answered.
  const PermitDecision& GetDecision(PermitTicket ticket) const;

  /// Ends a ticket: returns its permit or stops waiting for it.
  void End(PermitTicket ticket, PermitReturn outcome);

  /// Applies decisions of a scheduler. Returns the tickets that have a final
  /// decision now.
  std::vector<PermitTicket> OnDecisions(const PermitDecisions& message,
                                        TimePoint now);

  /// Passes over the schedulers that have fallen silent. Returns the tickets
  /// that have a final decision now, since no scheduler is left to ask.
  std::vector<PermitTicket> PassOverSilent(TimePoint now);

  /// Returns the messages that are due.
  std::vector<AddressedRequests> CollectMessages(TimePoint now);

  /// Returns when `PassOverSilent` and `CollectMessages` must be called next.
  TimePoint FindNextDue() const;

  size_t CountOpen() const { return m_pending.size(); }

 private:
  SchedulerRow& GetScheduler(const std::string& address);
  bool IsAvoided(const std::string& address, TimePoint now) const;
  const std::string& SchedulerOf(const PendingPermitRow& row) const;
  bool AskCurrentOrNext(PendingPermitRow& row, TimePoint now);
  void LeaveScheduler(const PendingPermitRow& row);
  PermitRequests BuildMessage(SchedulerRow& scheduler, TimePoint now);

  PermitClientSettings m_settings;
  std::string m_address;
  std::string m_incarnation;
  PermitTicket m_last_ticket = 0;
  std::map<PermitTicket, PendingPermitRow> m_pending;
  std::map<std::string, SchedulerRow> m_schedulers;
};

}  // namespace foxtail
