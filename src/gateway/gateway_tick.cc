#include "gateway/gateway_tick.h"

#include "gateway/directory_system.h"
#include "gateway/era_history_system.h"
#include "gateway/grant_log_system.h"
#include "gateway/leadership_system.h"
#include "gateway/member_system.h"
#include "gateway/owners_system.h"
#include "gateway/range_grant_system.h"
#include "gateway/range_placement_system.h"
#include "gateway/rollout_system.h"
#include "gateway/store_era_system.h"

namespace foxtail {

void RunGatewayTick(GatewayTables& tables, const Now& now) {
  // Bounds the delay if a system misses a due time.
  constexpr std::chrono::milliseconds kMaxTickInterval{1000};
  if (tables.m_next_tick_at != TimePoint() &&
      now.m_steady - tables.m_next_tick_at >
          tables.m_settings.m_late_tick_threshold) {
    tables.m_last_late_at = now.m_steady;
  }
  tables.m_next_tick_at = now.m_steady + kMaxTickInterval;

  // 1. After a start in a later era of the store: ask what was in force before.
  EraHistorySystem::Run(tables, now);
  // 2. Deregister servers still missing after an outage, and remove
  //    deregistered servers that no range refers to.
  DirectorySystem::Run(tables, now);
  // 3. Acquire, renew or release the leader lease.
  LeadershipSystem::Run(tables, now);
  // 4. At the leader: move traffic to ordered versions, or back.
  RolloutSystem::Run(tables, now);
  // 5. At the leader: decide which server owns which keys.
  RangePlacementSystem::Run(tables, now);
  // 6. At the leader: read the owners and record their changes in the store.
  OwnersSystem::Run(tables, now);
  // 7. At the leader: release and grant recorded ranges, renew grants.
  RangeGrantSystem::Run(tables, now);
  // 8. Keep this process registered; at the leader, deregister silent members.
  MemberSystem::Run(tables, now);
  // 9. Log what became of moves and calls to servers.
  GrantLogSystem::Run(tables, now);
  // 10. At the leader: remove rows of older eras of the store.
  StoreEraSystem::Run(tables, now);
}

}  // namespace foxtail
