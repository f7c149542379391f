#include "gateway/gateway_tick.h"

#include "gateway/directory_system.h"
#include "gateway/leadership_system.h"
#include "gateway/member_system.h"
#include "gateway/owners_system.h"
#include "gateway/range_grant_system.h"
#include "gateway/range_placement_system.h"

namespace foxtail {

void RunGatewayTick(GatewayTables& tables, const Now& now) {
  // A tick without anything due looks again after this pause, which bounds the
  // effect of a due time that was missed.
  constexpr std::chrono::milliseconds kLongestPause{1000};
  tables.m_next_tick_at = now.m_steady + kLongestPause;

  // 1. Servers that are gone and no longer referred to are forgotten.
  DirectorySystem::Run(tables, now);
  // 2. The leader lease is taken, renewed or given back.
  LeadershipSystem::Run(tables, now);
  // 3. The leader decides which server owns which keys,
  RangePlacementSystem::Run(tables, now);
  // 4. records what changed,
  OwnersSystem::Run(tables, now);
  // 5. and then acts on what is recorded, and renews grants.
  RangeGrantSystem::Run(tables, now);
  // 6. This daemon stays listed; the leader drops members that are silent.
  MemberSystem::Run(tables, now);
}

}  // namespace foxtail
