#include "scheduling/scheduler_map.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "core/digest.h"

namespace foxtail {
namespace {

// Weighted rendezvous hashing: the score of a host is distributed so that the
// host has the highest one with a probability proportional to its weight.
double Score(const SchedulingHost& host,
             std::string_view key,
             double weight_exponent) {
  std::string text(host.m_address);
  text += '|';
  text += key;
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const double uniform = (static_cast<double>(FastHash(text)) + 0.5) / kRange;
  return -std::pow(host.m_weight, weight_exponent) /
         std::log(std::min(uniform, 1 - 1e-12));
}

}  // namespace

SchedulerMap::SchedulerMap(std::vector<SchedulingHost> hosts)
    : m_hosts(std::move(hosts)) {}

std::vector<const SchedulingHost*> SchedulerMap::Rank(
    std::string_view key,
    std::string_view data_centre,
    size_t count,
    double weight_exponent) const {
  const bool has_local = std::ranges::any_of(m_hosts, [&](const auto& host) {
    return host.m_data_centre == data_centre;
  });
  std::vector<std::pair<double, const SchedulingHost*>> scored;
  for (const SchedulingHost& host : m_hosts) {
    if (!has_local || host.m_data_centre == data_centre) {
      assert(host.m_weight > 0);
      scored.emplace_back(Score(host, key, weight_exponent), &host);
    }
  }
  const size_t kept = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), std::greater<>());
  std::vector<const SchedulingHost*> ranked;
  for (size_t i = 0; i < kept; ++i) {
    ranked.push_back(scored[i].second);
  }
  return ranked;
}

std::string ServerScheduleKey(std::string_view service,
                              std::string_view server) {
  return std::string(service) + "/" + std::string(server);
}

std::string GroupScheduleKey(std::string_view service,
                             std::string_view data_centre,
                             uint32_t group) {
  return std::string(service) + "//" + std::string(data_centre) + "/" +
         std::to_string(group);
}

uint32_t CountGroups(size_t servers) {
  return static_cast<uint32_t>((servers + kMaxGroupSize - 1) / kMaxGroupSize);
}

uint32_t GroupOf(std::string_view server, uint32_t groups) {
  return groups <= 1 ? 0 : static_cast<uint32_t>(FastHash(server) % groups);
}

}  // namespace foxtail
