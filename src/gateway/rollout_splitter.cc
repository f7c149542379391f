#include "gateway/rollout_splitter.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// Multiples of the golden ratio are spread evenly, however many hosts there are
// and whichever of them receive requests.
constexpr double kGoldenRatio = 0.61803398874989485;

double StartingBalance(const MemberPosition& position) {
  const double multiple =
      kGoldenRatio * (static_cast<double>(position.m_index) + 0.5);
  return multiple - std::floor(multiple);
}

bool HasServerOfTarget(const ServiceEndpoints& endpoints) {
  return std::ranges::any_of(endpoints.m_servers, [&](const auto& entry) {
    return entry.second.m_eligible &&
           entry.second.m_software_version == endpoints.m_rollout->m_target;
  });
}

}  // namespace

VersionChoice::VersionChoice(const ServiceEndpoints& endpoints,
                             std::optional<VersionGroup> group)
    : m_rollout(endpoints.m_rollout ? &*endpoints.m_rollout : nullptr),
      m_group(group) {
  m_target_lost =
      m_rollout && m_rollout->m_share >= 1 && !HasServerOfTarget(endpoints);
}

bool VersionChoice::Allows(const RoutedServer& server) const {
  if (!m_rollout) {
    return true;
  }
  const VersionGroup group = m_rollout->GroupOf(server.m_software_version);
  if (group == VersionGroup::kRejected) {
    return false;
  }
  if (group == VersionGroup::kTarget && m_rollout->m_share <= 0) {
    return false;
  }
  return !m_group || group == *m_group ||
         (m_target_lost && group == VersionGroup::kOthers);
}

// The hosts start at different balances, so that together they send the share
// also while each of them has received few requests.
VersionGroup RolloutSplitter::Choose(const std::string& service,
                                     const RoutedRollout& rollout,
                                     const MemberPosition& position) {
  if (rollout.m_target.empty() || rollout.m_share <= 0 || rollout.m_paused) {
    return VersionGroup::kOthers;
  }
  if (rollout.m_share >= 1) {
    return VersionGroup::kTarget;
  }
  Balance& balance = m_balances[service];
  if (balance.m_order != rollout.m_order) {
    balance = {rollout.m_order, StartingBalance(position)};
  }
  balance.m_owed += rollout.m_share;
  if (balance.m_owed < 1) {
    return VersionGroup::kOthers;
  }
  balance.m_owed -= 1;
  return VersionGroup::kTarget;
}

void RolloutSplitter::Expire(const RoutingSnapshot& snapshot) {
  std::erase_if(m_balances, [&snapshot](const auto& entry) {
    const ServiceEndpoints* endpoints = snapshot.FindEndpoints(entry.first);
    return !endpoints || !endpoints->m_rollout;
  });
}

}  // namespace foxtail
