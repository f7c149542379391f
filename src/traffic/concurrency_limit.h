#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/time.h"

namespace foxtail {

/// How many requests one backend server may run at once, given what its
/// dispatcher saw of it.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// Returns the limit for a server with this many slots; at least 1.
  virtual uint32_t Limit(uint32_t slots) const = 0;

  /// The server answered; `instance` is the id of its run.
  virtual void OnAnswer(const std::string& instance, Duration latency) = 0;

  /// The server refused a request without running it.
  virtual void OnRefusal() = 0;

  /// A connection broke or could not be made.
  virtual void OnConnectionLost() = 0;

  /// Returns whether the server counts as cold.
  virtual bool IsCold() const = 0;
};

/// Always allows all slots; the baseline.
class FixedLimit : public ConcurrencyLimit {
 public:
  uint32_t Limit(uint32_t slots) const override { return slots; }
  void OnAnswer(const std::string&, Duration) override {}
  void OnRefusal() override {}
  void OnConnectionLost() override {}
  bool IsCold() const override { return false; }
};

/// Settings of `RampLimit`.
struct RampSettings {
  /// Answers that double the limit of a cold server.
  uint32_t m_answers_per_step = 20;

  /// Latency relative to the usual one that counts as slow.
  double m_slow_ratio = 4;

  /// Latency relative to the usual one above which an answer of a cold server
  /// does not count as a step to warmth.
  double m_warm_ratio = 2;

  /// Slow answers or failures in a row that make a server cold.
  uint32_t m_slow_in_row = 8;

  /// Answers slower than this are never ordinary noise.
  std::chrono::milliseconds m_slow_floor{5};
};

/// Starts a cold server with one request at a time and doubles the limit once
/// its answers no longer become faster. A server is cold when its run changed,
/// when a connection broke, or when it became slow or refused often without
/// notice.
class RampLimit : public ConcurrencyLimit {
 public:
  explicit RampLimit(const RampSettings& settings);

  uint32_t Limit(uint32_t slots) const override;
  void OnAnswer(const std::string& instance, Duration latency) override;
  void OnRefusal() override;
  void OnConnectionLost() override;
  bool IsCold() const override { return m_allowed < kUnlimited; }

 private:
  static constexpr uint32_t kUnlimited = 1U << 20U;

  void BecomeCold();
  bool HasPlateau();
  bool IsOver(Duration latency, double ratio) const;

  RampSettings m_settings;
  std::string m_incarnation;
  uint32_t m_allowed = 1;
  uint32_t m_answers = 0;
  uint32_t m_slow = 0;

  /// Latencies of this step's answers, and the mean of the step before.
  double m_step_seconds = 0;
  double m_last_mean = 0;
  double m_usual_seconds = 0;
};

}  // namespace foxtail
