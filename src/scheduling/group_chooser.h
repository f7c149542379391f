#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// Servers of one service in one data centre that are scheduled together.
struct ServerGroup {
  std::string m_data_centre;
  uint32_t m_number = 0;

  /// Slots of all servers of the group that accept new work.
  uint32_t m_slots = 0;
};

/// Settings of a `GroupChooser`.
struct GroupChooserSettings {
  /// Wait that is accepted in this host's data centre rather than sending
  /// bodies to another one.
  Duration m_remote_cost = std::chrono::milliseconds(60);

  /// Half-life of the wait that a scheduler has told.
  Duration m_wait_half_life = std::chrono::milliseconds(400);
};

/// Chooses the group of servers for a request that any server of the service
/// can run. Answers the load in which the servers of one data centre are busy
/// while those of another idle: what a group told about its wait fades, and of
/// the groups in other data centres only two random ones are compared, so that
/// hosts with equal knowledge do not all move to the same group.
class GroupChooser {
 public:
  GroupChooser(const GroupChooserSettings& settings,
               std::string data_centre,
               uint32_t seed);

  /// Returns the chosen group, or null if all are excluded.
  const ServerGroup* Choose(const std::string& service,
                            const std::vector<ServerGroup>& groups,
                            const std::vector<const ServerGroup*>& excluded,
                            TimePoint now);

  /// Records the wait that a group's scheduler has told.
  void OnWait(const std::string& service,
              const ServerGroup& group,
              Duration wait,
              TimePoint now);

 private:
  struct KnownWait {
    Duration m_wait{};
    TimePoint m_told_at;
  };
  using GroupKey = std::tuple<std::string, std::string, uint32_t>;

  Duration CostOf(const std::string& service,
                  const ServerGroup& group,
                  TimePoint now) const;
  const ServerGroup* PickBySlots(std::vector<const ServerGroup*>& groups);

  GroupChooserSettings m_settings;
  std::string m_data_centre;
  std::minstd_rand m_random;
  std::map<GroupKey, KnownWait> m_waits;
};

}  // namespace foxtail
