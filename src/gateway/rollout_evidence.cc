#include "gateway/rollout_evidence.h"

#include <cmath>
#include <numeric>

namespace foxtail {
namespace {

void AddCounts(VersionCounts& sum, const VersionCounts& counts) {
  sum.m_ended += counts.m_ended;
  sum.m_failed += counts.m_failed;
  for (size_t i = 0; i < kLatencyClasses; ++i) {
    sum.m_latencies[i] += counts.m_latencies[i];
  }
}

uint32_t CountMeasured(const VersionCounts& counts) {
  return std::accumulate(counts.m_latencies.begin(), counts.m_latencies.end(),
                         0U);
}

uint32_t CountFrom(const VersionCounts& counts, size_t first) {
  return first >= kLatencyClasses
             ? 0
             : std::accumulate(
                   counts.m_latencies.begin() + static_cast<ptrdiff_t>(first),
                   counts.m_latencies.end(), 0U);
}

// Returns the class of the median, or nothing if there are too few latencies.
std::optional<size_t> FindMedian(const VersionCounts& counts, uint32_t min) {
  const uint32_t measured = CountMeasured(counts);
  if (measured < min || measured == 0) {
    return std::nullopt;
  }
  uint32_t before = 0;
  size_t median = 0;
  while ((before += counts.m_latencies[median]) * 2 < measured) {
    ++median;
  }
  return median;
}

double RateOf(double bad, double all) {
  return all > 0 ? bad / all : 0;
}

// Returns the log-likelihood of so many bad responses at their own rate, less
// that at another rate.
double Divergence(double bad, double all, double rate) {
  const double own = RateOf(bad, all);
  const double good = all - bad;
  return (bad > 0 ? bad * std::log(own / rate) : 0) +
         (good > 0 ? good * std::log((1 - own) / (1 - rate)) : 0);
}

// Returns how much better two rates explain the counts of two groups than a
// common one: the logarithm of the likelihood ratio. It needs no estimate of
// the others' rate, so few responses of either group make it small by
// themselves.
double WeighEvidence(double target_bad,
                     double target_all,
                     double others_bad,
                     double others_all) {
  const double common =
      RateOf(target_bad + others_bad, target_all + others_all);
  if (common <= 0 || common >= 1) {
    return 0;
  }
  return Divergence(target_bad, target_all, common) +
         Divergence(others_bad, others_all, common);
}

}  // namespace

void RolloutEvidence::Add(const RouteCounts& counts) {
  Groups& groups = m_routes[counts.m_route];
  AddCounts(groups.m_target, counts.m_target);
  AddCounts(groups.m_others, counts.m_others);
}

void RolloutEvidence::Add(const RolloutEvidence& other) {
  for (const auto& [route, groups] : other.m_routes) {
    Add({route, groups.m_target, groups.m_others});
  }
}

uint32_t RolloutEvidence::CountTarget() const {
  uint32_t count = 0;
  for (const auto& [route, groups] : m_routes) {
    count += groups.m_target.m_ended;
  }
  return count;
}

RolloutEvidence::Comparison RolloutEvidence::Compare(
    const RolloutSettings& settings,
    const RolloutEvidence& baseline,
    FaultKind kind,
    const std::string& route,
    bool alone) const {
  Comparison sum;
  for (const auto& [name, groups] : m_routes) {
    const auto known = baseline.m_routes.find(name);
    if ((!route.empty() && name != route) || known == baseline.m_routes.end()) {
      continue;
    }
    const VersionCounts& usual = known->second.m_others;
    const VersionCounts& others = alone ? usual : groups.m_others;
    if (kind == FaultKind::kFailures) {
      sum.m_target_bad += groups.m_target.m_failed;
      sum.m_target_all += groups.m_target.m_ended;
      sum.m_others_bad += others.m_failed;
      sum.m_others_all += others.m_ended;
    } else if (const auto median = FindMedian(usual, settings.m_min_baseline)) {
      const size_t slow_from = *median + settings.m_slow_classes;
      sum.m_target_bad += CountFrom(groups.m_target, slow_from);
      sum.m_target_all += CountMeasured(groups.m_target);
      sum.m_others_bad += CountFrom(others, slow_from);
      sum.m_others_all += CountMeasured(others);
    }
  }
  return sum;
}

bool RolloutEvidence::IsFault(const Comparison& counts,
                              double min_excess,
                              const RolloutSettings& settings) {
  const double excess = RateOf(counts.m_target_bad, counts.m_target_all) -
                        RateOf(counts.m_others_bad, counts.m_others_all);
  return counts.m_target_bad >= settings.m_min_bad && excess >= min_excess &&
         WeighEvidence(counts.m_target_bad, counts.m_target_all,
                       counts.m_others_bad,
                       counts.m_others_all) >= settings.m_fault_evidence;
}

std::optional<RolloutFault> RolloutEvidence::FindFault(
    const RolloutSettings& settings,
    const RolloutEvidence& baseline,
    bool alone) const {
  const double slow_excess =
      alone ? settings.m_min_slow_excess_alone : settings.m_min_slow_excess;
  std::vector<std::string> routes = {""};
  for (const auto& [route, groups] : m_routes) {
    routes.push_back(route);
  }
  for (const FaultKind kind : {FaultKind::kFailures, FaultKind::kLatency}) {
    const double min_excess = kind == FaultKind::kFailures
                                  ? settings.m_min_failure_excess
                                  : slow_excess;
    for (const std::string& route : routes) {
      const Comparison counts = Compare(settings, baseline, kind, route, alone);
      if (IsFault(counts, min_excess, settings)) {
        return RolloutFault{kind, route, counts.m_target_bad,
                            counts.m_target_all};
      }
    }
  }
  return std::nullopt;
}

RolloutFault RolloutEvidence::CountBad(const RolloutSettings& settings,
                                       const RolloutEvidence& baseline,
                                       const RolloutFault& fault) const {
  const Comparison counts =
      Compare(settings, baseline, fault.m_kind, fault.m_route, false);
  return {fault.m_kind, fault.m_route, counts.m_target_bad,
          counts.m_target_all};
}

}  // namespace foxtail
