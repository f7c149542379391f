#include "control/placement_system.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

#include "control/partition_moves.h"
#include "core/digest.h"

namespace foxtail {
namespace {

// Decides on the owners of one cell's partitions in one tick.
class CellPlacement {
 public:
  CellPlacement(ControlContext& context,
                const PlacementStrategy& strategy,
                CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_settings(context.m_tables.m_settings),
        m_now(context.m_now.m_steady),
        m_strategy(strategy),
        m_cell(cell) {
    CollectCandidates();
  }

  void Run() {
    if (m_candidates.empty()) {
      return;
    }
    for (const auto& [number, id] : m_cell.m_partitions) {
      PartitionRow& partition = m_tables.m_partitions.Get(id);
      if (MayStartMove(partition)) {
        PlacePartition(partition);
      }
    }
    if (m_now >= m_cell.m_next_rebalance_at) {
      Rebalance();
    }
  }

 private:
  struct Receiver {
    BackendServerId m_id;
    size_t m_arriving_moves = 0;
  };

  bool IsEligible(const BackendServerRow& server) const {
    return server.m_up && server.m_serving && !server.m_removed;
  }

  void CollectCandidates() {
    for (const auto& [name, id] : m_cell.m_servers) {
      const BackendServerRow& server = m_tables.m_servers.Get(id);
      m_all_probed = m_all_probed && (server.m_probed || !server.m_serving);
      if (IsEligible(server)) {
        m_candidates.push_back({name, server.m_config.m_slots, 0, 0});
        m_receiver_index.emplace(id, m_receivers.size());
        m_receivers.push_back({id, 0});
      }
    }
    for (const auto& [number, id] : m_cell.m_partitions) {
      const PartitionRow& partition = m_tables.m_partitions.Get(id);
      const bool recording = partition.m_phase == MovePhase::kRecording;
      const auto index =
          IndexOf(recording ? partition.m_target : partition.m_owner);
      if (index) {
        ++m_candidates[*index].m_partitions;
        m_candidates[*index].m_load += partition.m_load;
        m_receivers[*index].m_arriving_moves +=
            partition.m_phase != MovePhase::kStable;
      }
    }
  }

  std::optional<size_t> IndexOf(BackendServerId id) const {
    const auto found = m_receiver_index.find(id);
    if (found == m_receiver_index.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  void PlacePartition(PartitionRow& partition) {
    const auto owner = IndexOf(partition.m_owner);
    if (!partition.m_pinned_to.empty() && PlacePinned(partition, owner)) {
      return;
    }
    if (owner) {
      return;
    }
    const BackendServerRow* server = m_tables.m_servers.Find(partition.m_owner);
    const size_t target = m_strategy.Choose(HashOf(partition), m_candidates);
    // A server that is up hands over a few partitions at a time, so that no
    // receiver is overloaded. All partitions of a lost server move at once.
    const bool planned = server && server->m_up;
    if (planned && !CanMoveWithoutDelay(*server)) {
      return;
    }
    if (planned && m_receivers[target].m_arriving_moves >=
                       m_settings.m_max_moves_per_receiver) {
      return;
    }
    Move(partition, target);
  }

  // Requests of a lost dispatcher may still run at a server that does not check
  // the fence. A planned move would pause the partition's requests until these
  // have ended.
  bool CanMoveWithoutDelay(const BackendServerRow& server) const {
    return m_cell.m_service.m_checks_fence || m_now >= server.m_may_run_until;
  }

  // Returns whether the pin decides the owner. The pin does not decide while
  // its server is not eligible.
  bool PlacePinned(PartitionRow& partition, std::optional<size_t> owner) {
    const auto pinned = std::ranges::find(m_candidates, partition.m_pinned_to,
                                          &PlacementCandidate::m_server);
    if (pinned == m_candidates.end()) {
      return false;
    }
    const auto target = static_cast<size_t>(pinned - m_candidates.begin());
    if (owner != target) {
      Move(partition, target);
    }
    return true;
  }

  uint64_t HashOf(const PartitionRow& partition) const {
    return FastHash(m_cell.m_name, partition.m_number);
  }

  void Move(PartitionRow& partition, size_t target) {
    const auto owner = IndexOf(partition.m_owner);
    if (owner) {
      --m_candidates[*owner].m_partitions;
      m_candidates[*owner].m_load -= partition.m_load;
    }
    ++m_candidates[target].m_partitions;
    m_candidates[target].m_load += partition.m_load;
    ++m_receivers[target].m_arriving_moves;
    LogMoveStarted(partition, m_candidates[target].m_server);
    StartMove(partition, m_receivers[target].m_id, m_now);
  }

  void LogMoveStarted(const PartitionRow& partition,
                      const std::string& target) {
    const BackendServerRow* owner = m_tables.m_servers.Find(partition.m_owner);
    m_context.m_outbox.m_events.push_back(
        {EventNumber::kPartitionMoveStarted,
         {{"cell", m_cell.m_name},
          {"partition", partition.m_number},
          {"from", owner ? owner->m_config.m_name : ""},
          {"to", target}}});
  }

  // Starts one planned move at a time: by number of partitions first, so that
  // returned servers receive partitions again, then by load.
  void Rebalance() {
    const bool moving =
        std::ranges::any_of(m_cell.m_partitions, [&](const auto& entry) {
          return m_tables.m_partitions.Get(entry.second).m_phase !=
                 MovePhase::kStable;
        });
    if (moving || m_candidates.size() < 2) {
      return;
    }
    if (RebalanceByCount()) {
      // A tenth of the period lets a returned server receive a few partitions
      // per second.
      m_cell.m_next_rebalance_at = m_now + m_settings.m_rebalance_period / 10;
      return;
    }
    m_cell.m_next_rebalance_at = m_now + m_settings.m_rebalance_period;
    RebalanceByLoad();
  }

  double CountPerSlot(size_t index) const {
    return static_cast<double>(m_candidates[index].m_partitions) /
           m_candidates[index].m_slots;
  }

  double LoadPerSlot(size_t index) const {
    return m_candidates[index].m_load / m_candidates[index].m_slots;
  }

  using Measure = double (CellPlacement::*)(size_t) const;

  std::pair<size_t, size_t> MinMaxBy(Measure measure) const {
    size_t low = 0;
    size_t high = 0;
    for (size_t i = 1; i < m_candidates.size(); ++i) {
      if ((this->*measure)(i) < (this->*measure)(low)) {
        low = i;
      }
      if ((this->*measure)(i) > (this->*measure)(high)) {
        high = i;
      }
    }
    return {low, high};
  }

  // Moves the partition with the lowest load if the partition counts differ too
  // much. Returns whether a move was started.
  bool RebalanceByCount() {
    const auto [low, high] = MinMaxBy(&CellPlacement::CountPerSlot);
    const double gap =
        (CountPerSlot(high) - CountPerSlot(low)) * m_candidates[high].m_slots;
    if (gap <= kCountTolerance) {
      return false;
    }
    PartitionRow* chosen = nullptr;
    ForEachMovable(high, [&](PartitionRow& partition) {
      if (!chosen || partition.m_load < chosen->m_load) {
        chosen = &partition;
      }
    });
    if (!chosen) {
      return false;
    }
    Move(*chosen, low);
    return true;
  }

  // Moves the partition that brings the loads of the two servers closest, if
  // the more loaded server is well above the mean and the partition has stayed
  // for the cooldown time.
  void RebalanceByLoad() {
    const auto [low, high] = MinMaxBy(&CellPlacement::LoadPerSlot);
    double total = 0;
    double slots = 0;
    for (const PlacementCandidate& candidate : m_candidates) {
      total += candidate.m_load;
      slots += candidate.m_slots;
    }
    const double mean = total / slots;
    if (LoadPerSlot(high) <= mean * m_settings.m_overload_ratio ||
        m_candidates[high].m_partitions < 2) {
      return;
    }
    const double gap = m_candidates[high].m_load - m_candidates[low].m_load;
    PartitionRow* chosen = nullptr;
    double smallest_gap = gap;
    ForEachMovable(high, [&](PartitionRow& partition) {
      const double remaining_gap = std::abs(gap - 2 * partition.m_load);
      if (remaining_gap < smallest_gap &&
          m_now - partition.m_stable_since > m_settings.m_move_cooldown) {
        smallest_gap = remaining_gap;
        chosen = &partition;
      }
    });
    if (chosen && smallest_gap < gap * kMaxRemainingGap) {
      Move(*chosen, low);
    }
  }

  template <typename Visit>
  void ForEachMovable(size_t index, Visit visit) {
    for (const auto& [number, id] : m_cell.m_partitions) {
      PartitionRow& partition = m_tables.m_partitions.Get(id);
      if (partition.m_owner == m_receivers[index].m_id &&
          CanMoveWithoutDelay(m_tables.m_servers.Get(partition.m_owner)) &&
          partition.m_pinned_to.empty() && MayStartMove(partition)) {
        visit(partition);
      }
    }
  }

  // Number of partitions by which two servers may differ.
  static constexpr double kCountTolerance = 2;

  // A load-driven move must leave less than this fraction of the gap.
  static constexpr double kMaxRemainingGap = 0.8;

  ControlContext& m_context;
  ControlTables& m_tables;
  const ControlSettings& m_settings;
  TimePoint m_now;
  const PlacementStrategy& m_strategy;
  CellRow& m_cell;
  std::vector<PlacementCandidate> m_candidates;
  std::vector<Receiver> m_receivers;
  std::map<BackendServerId, size_t> m_receiver_index;

  // Whether all serving servers were probed, so that first owners are chosen
  // among all of them and not among the first to respond.
  bool m_all_probed = true;
};

}  // namespace

PlacementSystem::PlacementSystem(std::unique_ptr<PlacementStrategy> strategy)
    : m_strategy(std::move(strategy)) {}

void PlacementSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  tables.m_cells.ForEach([&](CellId, CellRow& cell) {
    if (!cell.IsAccess() && CanDecide(cell, context.m_now.m_steady) &&
        ConfigIsFresh(tables, cell)) {
      CellPlacement(context, *m_strategy, cell).Run();
    }
  });
}

}  // namespace foxtail
