#include "gateway/load_targets.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>

namespace foxtail {
namespace {

// Demand is taken for this much more than measured, so that an ordinary swing
// does not saturate the fast servers.
constexpr double kHeadroom = 1.3;

// Targets are for at least and at most this part of what all servers together
// can answer: with less, small differences of speed would gather all keys at a
// few servers; beyond it response times have no meaning.
constexpr double kMinUtilization = 0.3;
constexpr double kMaxUtilization = 0.85;

// Part of an even share that each server keeps, so that its speed stays known.
constexpr double kMinShareFraction = 0.1;

// Portions in which demand is dealt out, for each server.
constexpr size_t kPortionsPerServer = 12;

double CapacityOf(const PlannedServer& server) {
  return server.m_slots / server.m_service_seconds;
}

double TotalCapacity(const std::vector<PlannedServer>& servers) {
  double total = 0;
  for (const PlannedServer& server : servers) {
    total += CapacityOf(server);
  }
  return total;
}

// Requests in the server on average, by the approximation of Sakasegawa (1977)
// for a queue with several slots. The mean response time times the rate.
double MeanRequestsInServer(const PlannedServer& server, double rate) {
  const double slots = server.m_slots;
  const double utilization = rate * server.m_service_seconds / slots;
  if (utilization >= 1) {
    return INFINITY;
  }
  const double wait = std::pow(utilization, std::sqrt(2 * (slots + 1)) - 1) /
                      (slots * (1 - utilization));
  return rate * server.m_service_seconds * (1 + wait);
}

}  // namespace

void CapacityTargets::SetTargets(std::vector<PlannedServer>& servers,
                                 double /*demand*/) const {
  const double total = TotalCapacity(servers);
  for (PlannedServer& server : servers) {
    server.m_target = CapacityOf(server) / total;
  }
}

void ResponseTimeTargets::SetTargets(std::vector<PlannedServer>& servers,
                                     double demand) const {
  const double capacity = TotalCapacity(servers);
  const double planned_rate =
      std::clamp(demand * kHeadroom, capacity * kMinUtilization,
                 capacity * kMaxUtilization);
  // Each portion goes where it adds least. The sum to be minimized is convex,
  // so this finds the least sum.
  const size_t portions = servers.size() * kPortionsPerServer;
  const double portion = planned_rate / static_cast<double>(portions);
  std::vector<double> rates(servers.size(), 0);
  const auto marginal_cost = [&](size_t i) {
    return MeanRequestsInServer(servers[i], rates[i] + portion) -
           MeanRequestsInServer(servers[i], rates[i]);
  };
  using Choice = std::pair<double, size_t>;
  std::priority_queue<Choice, std::vector<Choice>, std::greater<>> choices;
  for (size_t i = 0; i < servers.size(); ++i) {
    choices.emplace(marginal_cost(i), i);
  }
  for (size_t i = 0; i < portions; ++i) {
    const size_t best = choices.top().second;
    choices.pop();
    rates[best] += portion;
    choices.emplace(marginal_cost(best), best);
  }
  const double min_share =
      kMinShareFraction / static_cast<double>(servers.size());
  for (size_t i = 0; i < servers.size(); ++i) {
    servers[i].m_target =
        min_share + (1 - kMinShareFraction) * rates[i] / planned_rate;
  }
}

}  // namespace foxtail
