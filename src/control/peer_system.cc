#include "control/peer_system.h"

namespace foxtail {
namespace {

constexpr std::chrono::seconds kPeerRetention{10};

}  // namespace

void PeerSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  for (const PeerResponse& response : context.m_inbox.m_peer_responses) {
    if (response.m_peer == tables.m_self) {
      continue;
    }
    auto id = tables.m_peers.FindIf(
        [&](const PeerRow& row) { return row.m_process == response.m_peer; });
    if (!id.IsValid()) {
      id =
          tables.m_peers.Insert({response.m_peer, response.m_data_centre, now});
    }
    tables.m_peers.Get(id).m_last_seen_at = now;
  }
  tables.m_peers.ForEach([&](auto id, const PeerRow& row) {
    if (now - row.m_last_seen_at > kPeerRetention) {
      tables.m_peers.Erase(id);
    }
  });
}

}  // namespace foxtail
