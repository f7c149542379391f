#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace foxtail {

/// Step sizes, evidence and limits of rollouts.
///
/// A bad version may receive a tenth of the requests and 50 more, and nothing 5
/// seconds after its 50th bad response. The limits here stay below both, since
/// reports are late and requests are in flight when a decision falls.
struct RolloutSettings {
  /// Shares of the requests, by step. The second one is raised for services
  /// with few requests, see `m_trial_requests`.
  std::array<double, 5> m_shares = {0.02, 0.02, 0.2, 0.5, 1.0};

  /// The target version may receive this part of the requests since the order,
  /// and this number of requests more.
  double m_exposure_part = 0.08;
  double m_exposure_extra = 30;

  /// Part of the requests expected until the end of the period that counts as
  /// certain.
  double m_expected_part = 0.7;

  /// Requests on top of the share that the trial step may send, so that
  /// services with few requests get evidence; and the largest share of the
  /// step.
  double m_trial_requests = 15;
  double m_max_trial_share = 0.5;

  /// Time from sending a request to the leader's decision on its result: the
  /// response, the report and a second of delay. Requests of this time are
  /// counted as sent before the leader knows of them.
  Duration m_blind_time = std::chrono::milliseconds(1500);

  /// For how long a bad version is in use before it is found, when all its
  /// requests are planned for.
  Duration m_detection_time = std::chrono::milliseconds(2000);

  /// Part of the period after which the trial may end, and part that all steps
  /// must fit in. A version that turns bad late is found by the trial, so the
  /// trial takes as much of the period as the other steps leave.
  double m_trial_part = 0.62;
  double m_latest_end_part = 0.92;

  /// Longest time of the first step, which measures the rate of requests, and
  /// its part of the period.
  Duration m_first_step_time = std::chrono::milliseconds(2500);
  double m_first_step_part = 0.1;

  /// Shortest time of the steps between the trial and the last one, and their
  /// part of the period. The keys of sharded services need time to move.
  Duration m_min_step_time = std::chrono::milliseconds(1500);
  Duration m_min_sharded_step_time = std::chrono::milliseconds(2500);
  double m_step_part = 0.04;

  /// Shortest time of the last step, and the time that is reserved for it:
  /// requests at the old servers must end and keys must move.
  Duration m_min_last_step_time = std::chrono::milliseconds(1500);
  Duration m_last_step_reserve = std::chrono::milliseconds(4500);
  Duration m_sharded_last_step_reserve = std::chrono::milliseconds(8000);

  /// Ended requests of the target version that the trial needs, and each step
  /// after it, unless time runs out.
  uint32_t m_trial_evidence = 30;
  uint32_t m_step_evidence = 15;

  /// If the service has had so many requests, no step follows the trial without
  /// an ended request of the target version, even if time runs out.
  uint64_t m_busy_requests = 50;

  /// Evidence against the target version that suffices: the logarithm of the
  /// likelihood ratio of two rates of bad responses against one. By chance
  /// alone 9 is reached about once in 8,000 comparisons; the confirmation comes
  /// on top.
  double m_fault_evidence = 9;

  /// Fewest bad responses for a rollback.
  uint32_t m_min_bad = 3;

  /// Fewest failures above the others' rate, as a fraction of the responses.
  /// Below it lie faults of single machines, which any version has.
  double m_min_failure_excess = 0.01;

  /// The same for slow responses, and for them while no other version is in use
  /// to compare with: load then tells on all servers alike.
  double m_min_slow_excess = 0.2;
  double m_min_slow_excess_alone = 0.4;

  /// A response is slow if its class is this many classes above the median of
  /// the others on its route; a class is 1.35 times the one before, so this is
  /// 2.5 to 3.3 times the median. Servers of one version differ by 2.3.
  size_t m_slow_classes = 4;

  /// Responses of the others on a route from which their median is taken.
  uint32_t m_min_baseline = 10;

  /// A fault must still produce bad responses this long after it was found,
  /// unless so many are known: the end of a single server gives a burst of lost
  /// responses and then no more, and servers turn slow for seconds.
  Duration m_failure_confirmation = std::chrono::milliseconds(800);
  Duration m_latency_confirmation = std::chrono::milliseconds(2000);
  uint32_t m_certain_failures = 20;
  uint32_t m_certain_slow = 40;

  /// A fault is confirmed by bad responses at this part of the rate at which it
  /// was found, and dropped if there are fewer among so many responses.
  double m_confirmed_part = 0.3;
  uint32_t m_clean_responses = 12;

  /// The newest responses are also judged alone, so that a version that turns
  /// bad late does not hide behind its earlier responses: in windows of this
  /// length, of which the last two count.
  Duration m_window = std::chrono::milliseconds(4000);

  /// A host that has heard of no leader for this time uses the target version
  /// for no request: nobody could tell it that the version is bad. Above the
  /// time that a planned change of leader takes.
  Duration m_leader_silence = std::chrono::milliseconds(1500);

  /// A member whose last report is older does not hold up the next step, or the
  /// end of the rollout, respectively.
  Duration m_step_silence = std::chrono::milliseconds(1500);
  Duration m_end_silence = std::chrono::milliseconds(4000);
};

}  // namespace foxtail
