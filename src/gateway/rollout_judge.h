#pragma once

#include <array>
#include <optional>

#include "gateway/rollout_evidence.h"

namespace foxtail {

/// What the leader does with a rollout next.
enum class RolloutVerdict { kWait, kNextStep, kRollBack, kComplete };

/// A decision of the judge.
struct RolloutDecision {
  RolloutVerdict m_verdict = RolloutVerdict::kWait;

  /// Share of the next step.
  double m_share = 0;

  /// Why the version is rolled back.
  RolloutFault m_fault;
};

/// How far a rollout has come.
struct RolloutProgress {
  /// Time since the order.
  Duration m_elapsed{};

  /// The members apply the current share, and keys have moved accordingly.
  bool m_applied = false;

  /// Nothing is at servers of other versions, and no key is theirs.
  bool m_others_idle = false;
};

/// Judges the target version of one rollout by the members' reports and decides
/// on its steps. Reads no tables and no clock.
class RolloutJudge {
 public:
  /// `record` is that of the current step; `period` is that of the order.
  RolloutJudge(const RolloutRecord& record, Duration period, bool sharded);

  /// Starts the step of `record`.
  void StartStep(const RolloutRecord& record, TimePoint now);

  /// Adds what a member has seen since its last report. A report that is the
  /// first of a member to this leader (`is_first`) tells of an unknown time, so
  /// it counts neither for the rate of requests nor for this step alone.
  void Add(const RolloutCounts& seen, bool is_first, TimePoint now);

  RolloutDecision Decide(const RolloutProgress& progress, TimePoint now);

  /// Requests since the order, of all versions and of the target version.
  uint64_t GetRequests() const { return m_requests; }
  uint64_t GetTargetRequests() const { return m_target_requests; }

 private:
  std::optional<RolloutFault> FindFault() const;
  bool IsConfirmed(const RolloutFault& fault, TimePoint now);
  bool IsStepOver(const RolloutProgress& progress, TimePoint now) const;
  bool IsTrialOver(const RolloutProgress& progress) const;
  bool HasExposureLeft(Duration elapsed) const;
  double TrialShare() const;
  double RequestRate() const;
  Duration StepTime() const;
  Duration LastStepReserve() const;
  Duration LatestEndOf(size_t step) const;
  void AdvanceWindows(TimePoint now);

  RolloutSettings m_settings;
  Duration m_period{};
  bool m_sharded = false;
  size_t m_step = 0;
  double m_share = 0;
  TimePoint m_step_started_at;

  uint64_t m_requests = 0;
  uint64_t m_target_requests = 0;

  /// Requests whose time is known, and since when they are counted.
  uint64_t m_timed_requests = 0;
  TimePoint m_began_at;
  TimePoint m_last_added_at;

  /// All responses since the order, and those since the last dropped suspicion,
  /// of this step, of the last windows, and since a fault was suspected.
  RolloutEvidence m_baseline;
  RolloutEvidence m_total;
  RolloutEvidence m_of_step;
  std::array<RolloutEvidence, 2> m_windows;
  RolloutEvidence m_since_suspicion;
  TimePoint m_window_started_at;

  struct Suspicion {
    RolloutFault m_fault;
    TimePoint m_since;
  };
  std::optional<Suspicion> m_suspicion;
};

}  // namespace foxtail
