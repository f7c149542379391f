#include "gateway/load_targets.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>

namespace foxtail {
namespace {

// Factor on the measured demand, so that ordinary variation doesn't saturate
// the fast servers.
constexpr double kHeadroom = 1.3;

// Bounds of the planned utilization of all servers together. Below the minimum,
// small differences in speed would concentrate all keys at a few servers. Above
// the maximum, the response time model is meaningless.
constexpr double kMinUtilization = 0.3;
constexpr double kMaxUtilization = 0.85;

// Fraction of an equal share that every server keeps, so that measurements of
// its speed continue.
constexpr double kMinShareFraction = 0.1;

// Number of equal portions, per server, in which the planned rate is assigned.
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

// Returns the mean number of requests in the server, running and waiting, which
// is the mean response time times the rate. Uses the approximation of
// Sakasegawa (1977) for a queue with several slots.
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
  // Each portion goes to the server with the lowest marginal cost, where the
  // cost is the mean number of requests in the server. The cost is convex in
  // the rate, so this greedy assignment minimizes the total.
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
