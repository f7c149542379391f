#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/time.h"

namespace foxtail {

/// Limits the number of concurrent requests to one backend server, based on the
/// responses and failures that its dispatcher observed.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// Returns the limit, in requests, for a server with `slots` slots; at
  /// least 1.
  virtual uint32_t Limit(uint32_t slots) const = 0;

  /// Records a response. `incarnation` identifies the server's current process.
  virtual void OnResponse(const std::string& incarnation, Duration latency) = 0;

  /// Records that the server refused a request without executing it.
  virtual void OnRefusal() = 0;

  /// Records that a connection broke or could not be established.
  virtual void OnConnectionLost() = 0;

  /// Returns whether the server is considered cold.
  virtual bool IsCold() const = 0;
};

/// Always allows all slots; the baseline strategy.
class FixedLimit : public ConcurrencyLimit {
 public:
  uint32_t Limit(uint32_t slots) const override { return slots; }
  void OnResponse(const std::string&, Duration) override {}
  void OnRefusal() override {}
  void OnConnectionLost() override {}
  bool IsCold() const override { return false; }
};

/// Settings of `RampLimit`.
struct RampSettings {
  /// Number of responses per ramp step. The limit of a cold server can double
  /// after each step.
  uint32_t m_responses_per_step = 20;

  /// Latency relative to the baseline above which a response of a warm server
  /// counts as slow.
  double m_slow_ratio = 4;

  /// Latency relative to the baseline above which a response of a cold server
  /// does not count towards the ramp step.
  double m_warm_ratio = 2;

  /// Consecutive slow responses or refusals that make a server cold.
  uint32_t m_slow_streak_limit = 8;

  /// Responses up to this latency never count as slow; differences below it are
  /// noise.
  std::chrono::milliseconds m_min_slow_latency{5};
};

/// Limits a cold server to one request at a time and doubles the limit whenever
/// the mean latency stops improving from step to step. A server is cold after
/// its process was replaced, after a connection broke, and after a run of slow
/// responses or refusals.
class RampLimit : public ConcurrencyLimit {
 public:
  explicit RampLimit(const RampSettings& settings);

  uint32_t Limit(uint32_t slots) const override;
  void OnResponse(const std::string& incarnation, Duration latency) override;
  void OnRefusal() override;
  void OnConnectionLost() override;
  bool IsCold() const override { return m_current_limit < kNoLimit; }

 private:
  static constexpr uint32_t kNoLimit = 1U << 20U;

  void BecomeCold();

  /// Ends a ramp step. Returns whether its mean latency has stopped improving.
  bool FinishStep();

  bool ExceedsBaseline(Duration latency, double ratio) const;

  RampSettings m_settings;
  std::string m_incarnation;
  uint32_t m_current_limit = 1;
  uint32_t m_step_responses = 0;
  uint32_t m_slow_streak = 0;

  /// Sum of the latencies of the current ramp step and mean latency of the
  /// previous step, in seconds.
  double m_step_seconds = 0;
  double m_previous_step_mean = 0;

  /// Usual latency of the warm server, in seconds; 0 until it was warm once.
  double m_baseline_seconds = 0;
};

}  // namespace foxtail
