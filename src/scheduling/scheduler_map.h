#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// A host that can schedule the use of backend servers.
struct SchedulingHost {
  /// IP:PORT that receives requests for permits.
  std::string m_address;
  std::string m_data_centre;

  /// Relative share of the servers that the host schedules, above 0.
  double m_weight = 1;
};

/// Assigns backend servers, or groups of them, to the hosts that schedule their
/// use. Hosts with the same list of hosts compute the same assignment, and a
/// host that joins or leaves changes only its own part of it.
class SchedulerMap {
 public:
  SchedulerMap() = default;
  explicit SchedulerMap(std::vector<SchedulingHost> hosts);

  /// Returns up to `count` hosts in order of preference: hosts in the data
  /// centre of the server, others only if that has none. The weights are raised
  /// to `weight_exponent`.
  std::vector<const SchedulingHost*> Rank(std::string_view key,
                                          std::string_view data_centre,
                                          size_t count,
                                          double weight_exponent = 1) const;

  bool IsEmpty() const { return m_hosts.empty(); }

 private:
  std::vector<SchedulingHost> m_hosts;
};

/// Returns the key by which a server that owns keys is scheduled.
std::string ServerScheduleKey(std::string_view service,
                              std::string_view server);

/// Returns the key by which a group of servers is scheduled.
std::string GroupScheduleKey(std::string_view service,
                             std::string_view data_centre,
                             uint32_t group);

/// Maximum number of servers that are scheduled as one group.
inline constexpr size_t kMaxGroupSize = 64;

/// Returns the number of groups of a service with this many servers in one data
/// centre.
uint32_t CountGroups(size_t servers);

/// Returns the group of a server.
uint32_t GroupOf(std::string_view server, uint32_t groups);

}  // namespace foxtail
