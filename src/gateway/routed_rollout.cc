#include "gateway/routed_rollout.h"

#include <algorithm>

namespace foxtail {

VersionGroup RoutedRollout::GroupOf(const std::string& version) const {
  if (!m_target.empty() && version == m_target) {
    return VersionGroup::kTarget;
  }
  return std::ranges::count(m_rejected, version) > 0 ? VersionGroup::kRejected
                                                     : VersionGroup::kOthers;
}

}  // namespace foxtail
