#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/table.h"
#include "core/time.h"
#include "scheduling/error_fraction.h"
#include "scheduling/permit_messages.h"
#include "scheduling/permit_scheduler.h"
#include "scheduling/server_speed.h"
#include "scheduling/smoothed_rate.h"

namespace foxtail {

struct ScheduledServerRow;
struct ServerGroupRow;
struct PermitQueueRow;
struct WaitingRequestRow;
struct PermitRow;
struct AskingHostRow;
using ScheduledServerId = TypedId<ScheduledServerRow>;
using ServerGroupId = TypedId<ServerGroupRow>;
using PermitQueueId = TypedId<PermitQueueRow>;
using WaitingRequestId = TypedId<WaitingRequestRow>;
using PermitId = TypedId<PermitRow>;
using AskingHostId = TypedId<AskingHostRow>;

/// A registered backend server and what exchanges with it have shown.
struct ScheduledServerRow {
  std::string m_service;
  SchedulableServer m_entry;
  ServerGroupId m_group;

  /// Requests that can only run at this server.
  PermitQueueId m_queue;

  /// Permits in use, and permits whose attempts ended without a response and
  /// may still be worked on.
  std::vector<PermitId> m_active;
  std::vector<PermitId> m_unanswered;

  ServerSpeed m_speed;

  /// Smoothed time for which a permit is on its way to the host and back.
  double m_transit_seconds = 0;

  /// Upper limit of the permits, lowered by refusals of the server; 0 before
  /// the first.
  double m_limit = 0;

  /// Smoothed number of requests that the server reported beyond the permits.
  double m_other_requests = 0;
  TimePoint m_reported_at;

  ErrorFraction m_errors;

  /// Number of consecutive attempts without a response or a connection.
  uint32_t m_failures = 0;

  /// Number of consecutive refusals.
  uint32_t m_refusals = 0;

  /// No permit is given before this time.
  TimePoint m_closed_until;
  bool m_leaving = false;
};

/// Servers of one service in one data centre that are scheduled together.
struct ServerGroupRow {
  std::vector<ScheduledServerId> m_servers;

  /// Requests that can run at any server of the group.
  PermitQueueId m_queue;
  ServerSpeed m_speed;
};

/// Sort key of waiting requests; the smallest is next.
struct WaitingKey {
  /// The target latency can no longer be met.
  bool m_late = false;
  uint32_t m_priority = 0;

  /// False if the client was refused before.
  bool m_first_attempt = true;
  uint64_t m_arrival = 0;
  auto operator<=>(const WaitingKey&) const = default;
};

/// The requests of one priority in a queue.
struct PriorityClass {
  uint32_t m_waiting_in_time = 0;
  uint32_t m_waiting_late = 0;

  /// Since when the class has had requests and no permit.
  TimePoint m_unserved_since;
  Duration m_target{};
  SmoothedRate m_granted_in_time;
};

/// Requests that wait for a permit of one server or one group.
struct PermitQueueRow {
  std::string m_service;

  /// One of these is valid.
  ScheduledServerId m_server;
  ServerGroupId m_group;

  std::map<WaitingKey, WaitingRequestId> m_waiting;
  std::map<uint32_t, PriorityClass> m_classes;

  /// Permits that are due to the class that has waited longest.
  double m_fair_credit = 0;

  /// When the values below were last measured.
  TimePoint m_measured_at;

  /// Expected requests per second and time of one request at the servers; 0 if
  /// unknown.
  double m_capacity = 0;
  double m_service_seconds = 0;

  /// When one of the servers may get permits again; in the past if one may now.
  TimePoint m_open_at;

  /// Requests whose hosts must be told that they wait.
  std::vector<WaitingRequestId> m_decisions_due;

  /// Whether any server takes requests of the queue.
  bool m_has_servers = true;

  /// When the next refused request is expected to find capacity.
  TimePoint m_next_return_at;
};

/// A request that waits for a permit.
struct WaitingRequestRow {
  AskingHostId m_host;
  PermitQueueId m_queue;
  WaitingKey m_key;
  PermitRequest m_request;
  TimePoint m_arrived_at;
  TimePoint m_deadline;
  TimePoint m_target_at;

  /// The request was found worth waiting when it arrived.
  bool m_judged = false;
};

/// A permit that a host holds.
struct PermitRow {
  AskingHostId m_host;
  PermitTicket m_ticket = 0;
  ScheduledServerId m_server;
  std::string m_server_name;
  uint32_t m_priority = 0;

  /// The request can run at this server only.
  bool m_of_owner = false;
  TimePoint m_granted_at;
  TimePoint m_deadline;

  /// Permits of the server in use after this one was granted.
  uint32_t m_in_use = 1;

  /// An earlier run of this process gave the permit.
  bool m_is_adopted = false;
};

/// What is known of a ticket of a host. At most one of the ids is valid;
/// without one the ticket has ended, and `m_final` is the decision to repeat.
struct TicketState {
  WaitingRequestId m_waiting;
  PermitId m_permit;
  PermitDecision m_final;
};

/// One run of a host that has asked for permits.
struct AskingHostRow {
  std::string m_address;
  std::string m_incarnation;
  TimePoint m_heard_at;

  /// A younger run has the address.
  bool m_replaced = false;
  std::map<PermitTicket, TicketState> m_tickets;

  /// Ended tickets in the order of their end.
  std::deque<std::pair<TimePoint, PermitTicket>> m_ended;
};

/// State of a scheduler.
struct PermitTables {
  PermitSchedulerSettings m_settings;
  bool m_stopped = false;
  Table<ScheduledServerRow> m_servers;
  Table<ServerGroupRow> m_groups;
  Table<PermitQueueRow> m_queues;

  /// Queues in which requests wait; the others cost no time.
  std::set<PermitQueueId> m_busy_queues;
  Table<WaitingRequestRow> m_waiting;
  Table<PermitRow> m_permits;
  Table<AskingHostRow> m_hosts;

  /// By service and id; by service, data centre and number; by address.
  std::map<std::pair<std::string, std::string>, ScheduledServerId>
      m_servers_by_name;
  std::map<std::tuple<std::string, std::string, uint32_t>, ServerGroupId>
      m_groups_by_name;
  std::map<std::string, AskingHostId> m_hosts_by_address;

  std::map<std::pair<std::string, uint32_t>, PermitCounts> m_counts;
  std::map<std::string, std::vector<PermitDecision>> m_decisions;
  uint64_t m_last_arrival = 0;

  /// When `Run` was last called, and when all waiting requests were last
  /// judged.
  TimePoint m_last_run_at;

  /// When what has expired was last ended.
  TimePoint m_last_swept_at;
  TimePoint m_last_judged_at;

  /// A message has arrived since the last `Run`.
  bool m_run_due = false;
  std::minstd_rand m_random;
};

/// Returns the counts of a service and priority.
PermitCounts& GetCounts(PermitTables& tables,
                        const std::string& service,
                        uint32_t priority);

/// Queues a decision for the host.
void AddDecision(PermitTables& tables,
                 const AskingHostRow& host,
                 PermitDecision decision);

/// Adds a request to a queue.
WaitingRequestId InsertWaiting(PermitTables& tables,
                               WaitingRequestRow row,
                               TimePoint now);

/// Removes a waiting request from its queue. Its ticket is left unchanged.
void RemoveWaiting(PermitTables& tables, WaitingRequestId id);

/// Removes a waiting request from its queue, ends its ticket and sends the host
/// this decision. Refusals receive the time to come back.
void RejectWaiting(PermitTables& tables,
                   WaitingRequestId id,
                   PermitState state,
                   TimePoint now);

/// Moves a waiting request behind those that can still meet their targets.
void MarkLate(PermitTables& tables, WaitingRequestId id);

/// Removes a permit. The host's ticket ends, if the host still has it.
void EndPermit(PermitTables& tables, PermitId id, TimePoint now);

/// Records that a ticket has ended, so that late messages cannot renew it.
void EndTicket(AskingHostRow& host,
               PermitTicket ticket,
               PermitDecision final_decision,
               TimePoint now);

/// Returns the expected time of a request at the server that finds a free slot,
/// in seconds; 0 if nothing is known.
double ExpectedSeconds(const PermitTables& tables,
                       const ScheduledServerRow& server,
                       TimePoint now);

}  // namespace foxtail
