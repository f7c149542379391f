#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/time.h"
#include "scheduling/permit_messages.h"

namespace foxtail {

/// What a scheduler knows of a backend server from its registration.
struct SchedulableServer {
  std::string m_id;
  int64_t m_incarnation = 0;
  std::string m_data_centre;
  uint32_t m_slots = 1;
  TimePoint m_cold_until;

  /// Whether the server accepts new work from hosts that may choose a server.
  bool m_eligible = true;

  bool operator==(const SchedulableServer&) const = default;
};

/// Decisions to send to one host.
struct AddressedDecisions {
  std::string m_address;
  std::vector<PermitDecision> m_decisions;
};

/// Limits of a `PermitScheduler`.
struct PermitSchedulerSettings {
  /// Most permits of a server beyond its slots, for every two slots. They
  /// replace the slots that idle while returned permits are on their way.
  uint32_t m_reserve = 1;

  /// Fraction of the permits that go to the class of requests that has waited
  /// longest relative to its target latency.
  double m_fair_fraction = 0.2;

  /// Waiting requests of a host that has been silent for this long are dropped.
  Duration m_holder_silence = std::chrono::seconds(1);
};

/// What became of requests for permits, of one service and priority.
struct PermitCounts {
  std::string m_service;
  uint32_t m_priority = 0;
  uint64_t m_granted = 0;
  uint64_t m_refused_at_arrival = 0;
  uint64_t m_refused_later = 0;
  uint64_t m_abandoned = 0;

  /// Requests that a server refused although they had a permit.
  uint64_t m_refused_by_server = 0;
  Duration m_waited{};
};

/// Decides for the backend servers that this host schedules which request may
/// be sent to which of them next. Reads no clock and performs no I/O.
class PermitScheduler {
 public:
  explicit PermitScheduler(const PermitSchedulerSettings& settings);
  ~PermitScheduler();

  PermitScheduler(const PermitScheduler&) = delete;
  PermitScheduler& operator=(const PermitScheduler&) = delete;

  /// Replaces the registered servers of a service.
  void SetServers(const std::string& service,
                  const std::vector<SchedulableServer>& servers,
                  TimePoint now);

  /// Refuses all further requests as unavailable and drops those that wait.
  void Stop();

  /// Applies a message of a host. The decisions on its requests are returned by
  /// the next `Run`, which must follow.
  void Receive(const PermitRequests& message, TimePoint now);

  /// Ends what has expired, refuses what can no longer be served, and grants
  /// the permits that are free. Returns the decisions since the last call.
  std::vector<AddressedDecisions> Run(TimePoint now);

  /// Returns when `Run` must be called next, if no message arrives before.
  TimePoint FindNextRun() const;

  /// Returns the counts since the last call.
  std::vector<PermitCounts> TakeCounts();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace foxtail
