#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/rollout_records.h"
#include "gateway/rollout_settings.h"

namespace foxtail {

/// Kinds of bad responses.
enum class FaultKind { kFailures, kLatency };

/// Why a version is found bad.
struct RolloutFault {
  FaultKind m_kind = FaultKind::kFailures;

  /// The route, or empty for all of them together.
  std::string m_route;

  /// Bad responses of the target version, and all of its responses there.
  uint32_t m_bad = 0;
  uint32_t m_responses = 0;
};

/// Responses of both groups of servers, by route, and what they tell of the
/// target version.
class RolloutEvidence {
 public:
  void Add(const RouteCounts& counts);
  void Add(const RolloutEvidence& other);
  void Clear() { m_routes.clear(); }

  /// Returns the number of ended requests of the target version.
  uint32_t CountTarget() const;

  /// Returns a fault of the target version if there is enough evidence of one.
  /// Responses are slow relative to those of the others in `baseline`. If
  /// `alone`, no other version is in use at the time and the responses are
  /// compared with those of the baseline.
  std::optional<RolloutFault> FindFault(const RolloutSettings& settings,
                                        const RolloutEvidence& baseline,
                                        bool alone) const;

  /// Returns the bad responses of the same kind and route, whatever they prove.
  RolloutFault CountBad(const RolloutSettings& settings,
                        const RolloutEvidence& baseline,
                        const RolloutFault& fault) const;

 private:
  struct Groups {
    VersionCounts m_target;
    VersionCounts m_others;
  };

  /// Bad responses among all, of both groups.
  struct Comparison {
    uint32_t m_target_bad = 0;
    uint32_t m_target_all = 0;
    uint32_t m_others_bad = 0;
    uint32_t m_others_all = 0;
  };

  /// Compares the groups on one route, or on all of them if `route` is empty.
  Comparison Compare(const RolloutSettings& settings,
                     const RolloutEvidence& baseline,
                     FaultKind kind,
                     const std::string& route,
                     bool alone) const;
  static bool IsFault(const Comparison& counts,
                      double min_excess,
                      const RolloutSettings& settings);

  std::map<std::string, Groups> m_routes;
};

}  // namespace foxtail
