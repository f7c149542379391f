#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "gateway/client_patience.h"
#include "scheduling/group_chooser.h"
#include "scheduling/scheduler_map.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 600;

std::vector<SchedulingHost> BuildHosts() {
  std::vector<SchedulingHost> hosts;
  for (int i = 0; i < 20; ++i) {
    hosts.push_back({"10.0.0." + std::to_string(i) + ":1",
                     i % 2 == 0 ? "tejo-1" : "tejo-2", i < 4 ? 0.5 : 0.1});
  }
  return hosts;
}

std::map<int, std::string> Assign(const SchedulerMap& map,
                                  double weight_exponent = 1) {
  std::map<int, std::string> assigned;
  for (int i = 0; i < kServers; ++i) {
    assigned[i] = map.Rank(ServerScheduleKey("billing", std::to_string(i)),
                           "tejo-1", 1, weight_exponent)[0]
                      ->m_address;
  }
  return assigned;
}

// Two hosts that disagree would both let requests to the server.
TEST(SchedulerMapTest, OrderOfTheHostsDoesNotMatter) {
  std::vector<SchedulingHost> hosts = BuildHosts();
  const auto assigned = Assign(SchedulerMap(hosts));
  std::ranges::reverse(hosts);
  EXPECT_EQ(Assign(SchedulerMap(hosts)), assigned);
}

// If one host joins or leaves, the permits of all other servers stay with the
// scheduler that knows them.
TEST(SchedulerMapTest, OnlyTheServersOfALostHostMove) {
  std::vector<SchedulingHost> hosts = BuildHosts();
  const auto before = Assign(SchedulerMap(hosts));
  const std::string lost = hosts[6].m_address;
  hosts.erase(hosts.begin() + 6);
  for (const auto& [server, host] : Assign(SchedulerMap(hosts))) {
    EXPECT_TRUE(before.at(server) == host || before.at(server) == lost);
  }
}

// Weak hosts have too little processor time for an equal share.
TEST(SchedulerMapTest, SharesFollowTheWeights) {
  std::map<std::string, int> counts;
  for (const auto& [server, host] : Assign(SchedulerMap(BuildHosts()))) {
    ++counts[host];
  }
  // Two of the ten hosts of the data centre have 1.0 of 1.8 of the weight.
  const int strong = counts["10.0.0.0:1"] + counts["10.0.0.2:1"];
  EXPECT_GT(strong, kServers * 0.45);
  EXPECT_LT(strong, kServers * 0.65);
  std::map<std::string, int> cubed;
  for (const auto& [server, host] : Assign(SchedulerMap(BuildHosts()), 3)) {
    ++cubed[host];
  }
  EXPECT_GT(cubed["10.0.0.0:1"] + cubed["10.0.0.2:1"], kServers * 0.9);
}

TEST(SchedulerMapTest, OtherDataCentresServeOneWithoutHosts) {
  EXPECT_EQ(SchedulerMap(BuildHosts()).Rank("key", "tejo-3", 2).size(), 2);
  EXPECT_TRUE(SchedulerMap().Rank("key", "tejo-3", 2).empty());
}

class GroupChooserTest : public testing::Test {
 protected:
  std::map<std::string, int> Choose(int hosts, const std::string& local) {
    std::map<std::string, int> counts;
    for (int i = 0; i < hosts; ++i) {
      GroupChooser chooser({}, local, static_cast<uint32_t>(i + 1));
      for (const auto& [data_centre, wait] : m_told) {
        chooser.OnWait("billing", {data_centre, 0, 0}, wait, m_now);
      }
      ++counts[chooser.Choose("billing", m_groups, {}, m_now)->m_data_centre];
    }
    return counts;
  }

  TimePoint m_now = TimePoint(std::chrono::hours(1));
  std::vector<ServerGroup> m_groups = {{"tejo-1", 0, 20},
                                       {"tejo-2", 0, 20},
                                       {"tejo-3", 0, 20},
                                       {"tejo-4", 0, 20}};
  std::map<std::string, Duration> m_told;
};

// Bytes between data centres are expensive.
TEST_F(GroupChooserTest, StaysInItsDataCentreWhileThatHasRoom) {
  EXPECT_EQ(Choose(80, "tejo-2")["tejo-2"], 80);
}

// 80 hosts with equal old knowledge must not all move to the same group.
TEST_F(GroupChooserTest, OverflowSpreadsOverTheOtherDataCentres) {
  m_told["tejo-2"] = seconds(1);
  auto counts = Choose(80, "tejo-2");
  EXPECT_EQ(counts["tejo-2"], 0);
  for (const char* other : {"tejo-1", "tejo-3", "tejo-4"}) {
    EXPECT_GT(counts[other], 10) << other;
  }
}

// A group that was busy once must be tried again.
TEST_F(GroupChooserTest, OldWaitsFade) {
  GroupChooser chooser({}, "tejo-2", 1);
  chooser.OnWait("billing", m_groups[1], seconds(1), m_now);
  EXPECT_EQ(chooser.Choose("billing", m_groups, {}, m_now + seconds(3)),
            m_groups.data() + 1);
}

TEST_F(GroupChooserTest, ExcludedAndEmptyGroupsAreNotChosen) {
  m_groups[0].m_slots = 0;
  GroupChooser chooser({}, "tejo-1", 1);
  EXPECT_EQ(
      chooser.Choose("billing", m_groups, {&m_groups[1], &m_groups[2]}, m_now),
      m_groups.data() + 3);
  EXPECT_EQ(chooser.Choose("billing", m_groups,
                           {&m_groups[1], &m_groups[2], &m_groups[3]}, m_now),
            nullptr);
}

// A client that comes back has less time left than one that just began.
TEST(ClientPatienceTest, TellsReturningClientsFromFreshOnes) {
  ClientPatience patience;
  EXPECT_EQ(patience.OnRequest("orders", seconds(4)), Duration(0));
  EXPECT_EQ(patience.OnRequest("orders", milliseconds(3990)), Duration(0));
  EXPECT_EQ(patience.OnRequest("orders", milliseconds(3200)),
            milliseconds(800));
  EXPECT_EQ(patience.OnRequest("stock", milliseconds(1000)), Duration(0));
}

}  // namespace
}  // namespace foxtail
