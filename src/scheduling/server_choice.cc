#include "scheduling/server_choice.h"

#include <algorithm>
#include <random>

#include "scheduling/server_window.h"

namespace foxtail {
namespace {

// A cold server is about this many times slower than its measurements.
constexpr double kColdFactor = 2;

// A server all of whose responses are errors counts as this many times slower.
constexpr double kErrorFactor = 10;

// Returns the cost of sending another request to the server: its time per
// request, times the load for each slot.
double Cost(const PermitTables& tables,
            const ScheduledServerRow& server,
            TimePoint now) {
  const double seconds = ExpectedSeconds(tables, server, now);
  const double load = ServerWindow(tables, server, now).InUse();
  const double slots = std::max(1U, server.m_entry.m_slots);
  return (seconds > 0 ? seconds : 1) * (1 + load / slots) *
         (now < server.m_entry.m_cold_until ? kColdFactor : 1) *
         (1 + kErrorFactor * server.m_errors.Get(now));
}

}  // namespace

ScheduledServerId ServerChoice::Choose(PermitTables& tables,
                                       const ServerGroupRow& group,
                                       const std::vector<std::string>& excluded,
                                       TimePoint now) {
  ScheduledServerId best;
  double best_cost = 0;
  uint32_t equal = 0;
  for (const ScheduledServerId id : group.m_servers) {
    const ScheduledServerRow& server = tables.m_servers.Get(id);
    if (!server.m_entry.m_eligible ||
        !ServerWindow(tables, server, now).HasRoom() ||
        std::ranges::find(excluded, server.m_entry.m_id) != excluded.end()) {
      continue;
    }
    const double cost = Cost(tables, server, now);
    if (!best.IsValid() || cost < best_cost) {
      best = id;
      best_cost = cost;
      equal = 1;
    } else if (cost == best_cost) {
      // Each of the equal servers is chosen with the same probability.
      std::uniform_int_distribution<uint32_t> draw(0, equal++);
      if (draw(tables.m_random) == 0) {
        best = id;
      }
    }
  }
  return best;
}

}  // namespace foxtail
