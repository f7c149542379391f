#include "control/standby_choice.h"

#include <algorithm>

#include "core/digest.h"

namespace foxtail {
namespace {

constexpr std::chrono::milliseconds kPeerTimeout{3000};

uint64_t RendezvousWeight(const CellRow& cell, const ControlProcess& process) {
  return FastHash(cell.m_name + "@" + process.m_incarnation);
}

std::vector<const PeerRow*> LivePeers(const ControlTables& tables,
                                      TimePoint now) {
  std::vector<const PeerRow*> live;
  tables.m_peers.ForEach([&](auto, const PeerRow& peer) {
    if (now - peer.m_last_seen_at < kPeerTimeout) {
      live.push_back(&peer);
    }
  });
  return live;
}

}  // namespace

size_t RendezvousRank(const ControlTables& tables,
                      const CellRow& cell,
                      TimePoint now) {
  const uint64_t own_weight = RendezvousWeight(cell, tables.m_self);
  size_t rank = 0;
  for (const PeerRow* peer : LivePeers(tables, now)) {
    if (RendezvousWeight(cell, peer->m_process) > own_weight) {
      ++rank;
    }
  }
  return rank;
}

// Prefers processes in other data centres, so that the loss of this process's
// data centre does not take the standbys with it.
std::vector<ControlProcess> ChooseStandbys(const ControlTables& tables,
                                           const CellRow& cell,
                                           TimePoint now) {
  std::vector<const PeerRow*> peers = LivePeers(tables, now);
  std::ranges::sort(peers, [&](const PeerRow* a, const PeerRow* b) {
    const bool a_is_local = a->m_data_centre == tables.m_data_centre;
    const bool b_is_local = b->m_data_centre == tables.m_data_centre;
    if (a_is_local != b_is_local) {
      return b_is_local;
    }
    return RendezvousWeight(cell, a->m_process) >
           RendezvousWeight(cell, b->m_process);
  });
  std::vector<ControlProcess> chosen;
  for (const PeerRow* peer : peers) {
    if (chosen.size() < tables.m_settings.m_standby_count) {
      chosen.push_back(peer->m_process);
    }
  }
  std::ranges::sort(chosen);
  return chosen;
}

}  // namespace foxtail
