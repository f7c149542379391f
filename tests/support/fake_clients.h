#pragma once

#include <cstddef>
#include <vector>

#include "gateway/rate_admission.h"

namespace foxtail {

/// What became of the requests of a workspace at all hosts.
struct RequestRecord {
  /// When each request ran that was admitted, in order.
  std::vector<TimePoint> m_run_at;
  size_t m_refused = 0;

  /// Returns the largest number of requests that ran in any span of `window`.
  size_t CountMostRunWithin(Duration window) const;

  void Clear();
};

/// Fake of the clients of one workspace at one host, with the host's real
/// decisions on admission.
class FakeClients {
 public:
  FakeClients(const OwnershipSettings& settings, RequestRecord& record)
      : m_admission(settings), m_record(record) {}

  /// Lets the requests of `step` arrive and decides about them and the waiting
  /// ones.
  void Step(const RoutedWorkspace& workspace,
            const MemberPosition& position,
            TimePoint now,
            Duration step);

  /// Returns whether a request waits for the leader's tokens.
  bool IsWaiting() const { return !m_waiting.empty(); }

  RateAdmission m_admission;

  /// Requests per second.
  double m_rate = 0;

  /// Fraction of the admitted requests that a server turns away unrun, after
  /// the delay.
  double m_turned_away_fraction = 0;
  Duration m_turned_away_delay = std::chrono::milliseconds(300);

 private:
  struct Waiting {
    TimePoint m_arrived_at;
    TimePoint m_deadline;
  };

  void Arrive(const RoutedWorkspace& workspace,
              const MemberPosition& position,
              TimePoint now);
  void DecideWaiting(const RoutedWorkspace& workspace,
                     const MemberPosition& position,
                     TimePoint now);
  void Finish(RateDecision decision, TimePoint now);

  RequestRecord& m_record;
  double m_due = 0;
  double m_turned_away_due = 0;
  std::vector<Waiting> m_waiting;

  /// An admitted request that a server turns away at `m_at`.
  struct TurnedAway {
    RateDecision m_admitted_by;
    TimePoint m_at;
  };
  std::vector<TurnedAway> m_turned_away;
};

}  // namespace foxtail
