#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "control/control_tick.h"
#include "control/plan_builder.h"
#include "support/fake_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

TEST(LeaseTest, StandbyTakesOverOnlyAfterLeaseExpires) {
  FakeWorld world(2);
  world.Configure(OneServiceConfiguration());
  ASSERT_TRUE(world.RunUntilHolder("catalogue"));
  const size_t holder = world.HolderOf("catalogue");
  world.RunFor(milliseconds(1000));
  world.m_nodes[holder].m_paused = true;
  const TimePoint stopped_at = world.Now();
  ASSERT_TRUE(world.RunUntil(
      [&] { return world.HolderOf("catalogue") == 1 - holder; }));
  const ControlSettings settings;
  EXPECT_GE(world.Now() - stopped_at,
            settings.m_lease_ttl - settings.m_lease_renew_period);
  EXPECT_LE(world.Now() - stopped_at, milliseconds(1000));
}

TEST(LeaseTest, AtMostOneHolderUnderOutagesPausesAndLostResponses) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FakeWorld world(3);
    world.Configure(OneServiceConfiguration());
    std::mt19937_64 random(seed);
    for (int step = 0; step < 150; ++step) {
      world.m_store.m_down = random() % 4 == 0;
      world.m_store.m_lose_next_response = random() % 3 == 0;
      for (FakeNode& node : world.m_nodes) {
        node.m_paused = random() % 5 == 0;
      }
      world.RunFor(milliseconds(random() % 400));
      ASSERT_LE(world.m_max_holders, 1U) << "seed " << seed;
    }
    EXPECT_EQ(world.m_max_holders, 1U)
        << "no process ever held the lease, seed " << seed;
  }
}

TEST(LeaseTest, HolderKeepsLeaseThroughOutageWithPromises) {
  FakeWorld world(3);
  world.Configure(OneServiceConfiguration());
  ASSERT_TRUE(world.RunUntilHolder("catalogue"));
  world.RunFor(milliseconds(1000));
  const size_t holder = world.HolderOf("catalogue");
  world.m_store.m_down = true;
  for (int i = 0; i < 100; ++i) {
    world.RunFor(milliseconds(100));
    ASSERT_EQ(world.HolderOf("catalogue"), holder) << i;
  }
  world.m_store.m_down = false;
  world.RunFor(milliseconds(1000));
  EXPECT_EQ(world.HolderOf("catalogue"), holder);
}

// The last standby reads the row rarely, so it may not know yet that the store
// does not respond when it is asked for a promise.
TEST(LeaseTest, HolderKeepsLeaseWheneverTheStoreFallsSilent) {
  FakeWorld world(3);
  world.m_store_timeout = milliseconds(250);
  world.Configure(OneServiceConfiguration());
  ASSERT_TRUE(world.RunUntilHolder("catalogue"));
  const size_t holder = world.HolderOf("catalogue");
  for (int outage = 0; outage < 500; ++outage) {
    world.m_store.m_down = false;
    world.RunFor(milliseconds(1000 + outage * 10));
    world.m_store.m_down = true;
    for (int i = 0; i < 100; ++i) {
      world.RunFor(milliseconds(10));
      ASSERT_EQ(world.HolderOf("catalogue"), holder)
          << "outage " << outage << ", after " << (i + 1) * 10 << " ms";
    }
  }
}

TEST(LeaseTest, HolderStepsDownWithoutPromiseOfAStandby) {
  FakeWorld world(3);
  world.Configure(OneServiceConfiguration());
  ASSERT_TRUE(world.RunUntilHolder("catalogue"));
  world.RunFor(milliseconds(1000));
  const size_t holder = world.HolderOf("catalogue");
  world.m_store.m_down = true;
  world.m_nodes[(holder + 1) % 3].m_paused = true;
  world.RunFor(milliseconds(2500));
  EXPECT_EQ(world.HolderOf("catalogue"), FakeWorld::kNoNode);
}

TEST(TokenTest, TokensOfAPredecessorCountAgainstTheBurst) {
  FakeWorld world(2);
  Configuration configuration = OneServiceConfiguration();
  configuration.m_workspaces = {{"club", 100, 40, 1, {"catalogue"}, {}}};
  world.Configure(configuration);
  ASSERT_TRUE(world.RunUntilHolder(kAccessCell));
  world.RunFor(milliseconds(1500));
  // The first holder issues as many tokens as it may: half of the burst.
  double first_holder_tokens =
      world.RequestTokens(world.HolderOf(kAccessCell), "club", 100);
  EXPECT_EQ(first_holder_tokens, 20);
  world.m_nodes[world.HolderOf(kAccessCell)].m_paused = true;
  ASSERT_TRUE(world.RunUntil([&] {
    const size_t holder = world.HolderOf(kAccessCell);
    return holder != FakeWorld::kNoNode && !world.m_nodes[holder].m_paused;
  }));
  // The successor starts without stock, and never issues more than the
  // rest of the burst.
  const double initial_tokens =
      world.RequestTokens(world.HolderOf(kAccessCell), "club", 100);
  EXPECT_LE(initial_tokens, 2);
  world.RunFor(milliseconds(600));
  const double later_tokens =
      world.RequestTokens(world.HolderOf(kAccessCell), "club", 100);
  EXPECT_LE(initial_tokens + later_tokens, 20);
}

TEST(PlacementTest, BoundedLoadKeepsServersNearTheMean) {
  const BoundedLoadPlacement bounded(1.1);
  const RendezvousPlacement rendezvous;
  std::vector<PlacementCandidate> bounded_candidates;
  for (int i = 0; i < 25; ++i) {
    bounded_candidates.push_back({"server-" + std::to_string(i), 2, 0, 0});
  }
  std::vector<PlacementCandidate> rendezvous_candidates = bounded_candidates;
  for (uint64_t i = 0; i < 500; ++i) {
    ++bounded_candidates[bounded.Choose(i * 7919, bounded_candidates)]
          .m_partitions;
    ++rendezvous_candidates[rendezvous.Choose(i * 7919, rendezvous_candidates)]
          .m_partitions;
  }
  const auto max_partitions = [](const auto& all) {
    return std::ranges::max(all, {}, &PlacementCandidate::m_partitions)
        .m_partitions;
  };
  EXPECT_LE(max_partitions(bounded_candidates), 22U);
  EXPECT_GT(max_partitions(rendezvous_candidates),
            max_partitions(bounded_candidates));
}

TEST(PlacementTest, RendezvousMovesOnlyPartitionsOfALostServer) {
  const RendezvousPlacement rendezvous;
  std::vector<PlacementCandidate> all;
  for (int i = 0; i < 10; ++i) {
    all.push_back({"server-" + std::to_string(i), 2, 0, 0});
  }
  std::vector<PlacementCandidate> rest(all.begin() + 1, all.end());
  for (uint64_t i = 0; i < 300; ++i) {
    const std::string before = all[rendezvous.Choose(i * 7919, all)].m_server;
    const std::string after = rest[rendezvous.Choose(i * 7919, rest)].m_server;
    EXPECT_TRUE(before == after || before == "server-0");
  }
}

TEST(PlanTest, LeavingDataCentreReportsMovesAndReceivers) {
  PlanRecord plan;
  plan.m_configuration = OneServiceConfiguration();
  AssignmentRecord assignment;
  for (PartitionNumber i = 0; i < 8; ++i) {
    assignment.m_owners.push_back(
        {i, "server-" + std::to_string(i % 4), 1, ""});
  }
  std::vector<ValidationError> errors;
  ApplyChange({"data_centre", "dc-1", "", "", "leaving", ""},
              plan.m_configuration, errors);
  ASSERT_TRUE(errors.empty());
  EstimateCost(BoundedLoadPlacement(1.1), {{"catalogue", assignment}}, plan);
  EXPECT_EQ(plan.m_moves, 4U);
  EXPECT_GT(plan.m_unavailable_ms, 0);
  EXPECT_FALSE(plan.m_changes.empty());
}

TEST(PlanTest, PlanWithoutServingServerIsRejected) {
  Configuration proposed = OneServiceConfiguration();
  for (BackendServerConfig& server : proposed.m_services[0].m_servers) {
    server.m_state = ServingState::kLeaving;
  }
  std::vector<ValidationError> errors;
  ValidateChange(OneServiceConfiguration(), proposed, errors);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].m_path, "services.catalogue.servers");
}

}  // namespace
}  // namespace foxtail
