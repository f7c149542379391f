#include "scheduling/group_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtail {

GroupChooser::GroupChooser(const GroupChooserSettings& settings,
                           std::string data_centre,
                           uint32_t seed)
    : m_settings(settings),
      m_data_centre(std::move(data_centre)),
      m_random(seed) {}

Duration GroupChooser::CostOf(const std::string& service,
                              const ServerGroup& group,
                              TimePoint now) const {
  const Duration remote = group.m_data_centre == m_data_centre
                              ? Duration(0)
                              : m_settings.m_remote_cost;
  const auto found =
      m_waits.find({service, group.m_data_centre, group.m_number});
  if (found == m_waits.end()) {
    return remote;
  }
  const double half_lives = ToSeconds(now - found->second.m_told_at) /
                            ToSeconds(m_settings.m_wait_half_life);
  return remote +
         FromSeconds(ToSeconds(found->second.m_wait) * std::exp2(-half_lives));
}

// Removes and returns a group, at random by its slots.
const ServerGroup* GroupChooser::PickBySlots(
    std::vector<const ServerGroup*>& groups) {
  uint64_t total = 0;
  for (const ServerGroup* group : groups) {
    total += group->m_slots;
  }
  if (total == 0) {
    return nullptr;
  }
  uint64_t at = std::uniform_int_distribution<uint64_t>(0, total - 1)(m_random);
  const auto picked =
      std::ranges::find_if(groups, [&at](const ServerGroup* group) {
        const bool found = at < group->m_slots;
        at -= found ? 0 : group->m_slots;
        return found;
      });
  const ServerGroup* group = *picked;
  groups.erase(picked);
  return group;
}

const ServerGroup* GroupChooser::Choose(
    const std::string& service,
    const std::vector<ServerGroup>& groups,
    const std::vector<const ServerGroup*>& excluded,
    TimePoint now) {
  std::vector<const ServerGroup*> local;
  std::vector<const ServerGroup*> remote;
  for (const ServerGroup& group : groups) {
    if (group.m_slots > 0 &&
        std::ranges::find(excluded, &group) == excluded.end()) {
      (group.m_data_centre == m_data_centre ? local : remote).push_back(&group);
    }
  }
  const ServerGroup* best = nullptr;
  for (auto* candidates : {&local, &remote}) {
    for (int i = 0; i < 2; ++i) {
      const ServerGroup* group = PickBySlots(*candidates);
      if (group && (!best || CostOf(service, *group, now) <
                                 CostOf(service, *best, now))) {
        best = group;
      }
    }
  }
  return best;
}

void GroupChooser::OnWait(const std::string& service,
                          const ServerGroup& group,
                          Duration wait,
                          TimePoint now) {
  m_waits[{service, group.m_data_centre, group.m_number}] = {wait, now};
}

}  // namespace foxtail
