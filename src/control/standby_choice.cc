#include "control/standby_choice.h"

#include <algorithm>

#include "core/digest.h"

namespace foxtail {
namespace {

constexpr std::chrono::milliseconds kPeerTimeout{3000};

uint64_t Weight(const CellRow& cell, const ControlProcess& instance) {
  return FastHash(cell.m_name + "@" + instance.m_incarnation);
}

std::vector<const PeerRow*> LivePeers(const ControlTables& tables,
                                      TimePoint now) {
  std::vector<const PeerRow*> live;
  tables.m_peers.ForEach([&](auto, const PeerRow& peer) {
    if (now - peer.m_seen < kPeerTimeout) {
      live.push_back(&peer);
    }
  });
  return live;
}

}  // namespace

size_t RankOf(const ControlTables& tables, const CellRow& cell, TimePoint now) {
  const uint64_t own = Weight(cell, tables.m_self);
  size_t rank = 0;
  for (const PeerRow* peer : LivePeers(tables, now)) {
    if (Weight(cell, peer->m_self) > own) {
      ++rank;
    }
  }
  return rank;
}

// Other data centres come first, so that one loss spares the standbys.
std::vector<ControlProcess> ChooseStandbys(const ControlTables& tables,
                                           const CellRow& cell,
                                           TimePoint now) {
  std::vector<const PeerRow*> peers = LivePeers(tables, now);
  std::ranges::sort(peers, [&](const PeerRow* a, const PeerRow* b) {
    const bool a_near = a->m_data_centre == tables.m_data_centre;
    const bool b_near = b->m_data_centre == tables.m_data_centre;
    if (a_near != b_near) {
      return b_near;
    }
    return Weight(cell, a->m_self) > Weight(cell, b->m_self);
  });
  std::vector<ControlProcess> chosen;
  for (const PeerRow* peer : peers) {
    if (chosen.size() < tables.m_settings.m_standby_count) {
      chosen.push_back(peer->m_self);
    }
  }
  std::ranges::sort(chosen);
  return chosen;
}

}  // namespace foxtail
