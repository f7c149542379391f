#include "gateway/rollout_splitter.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

RoutedRollout MakeRollout(double share) {
  RoutedRollout rollout;
  rollout.m_target = "v2";
  rollout.m_order = 5;
  rollout.m_share = share;
  return rollout;
}

size_t CountTarget(size_t hosts, size_t requests_each, double share) {
  size_t target = 0;
  for (size_t host = 0; host < hosts; ++host) {
    RolloutSplitter splitter;
    MemberPosition position;
    position.m_index = host;
    position.m_members = hosts;
    for (size_t i = 0; i < requests_each; ++i) {
      target += splitter.Choose("s", MakeRollout(share), position) ==
                        VersionGroup::kTarget
                    ? 1
                    : 0;
    }
  }
  return target;
}

// With balances that start alike, 80 hosts with 10 requests each would send
// nothing, or all of them a request at the same time.
TEST(RolloutSplitterTest, HostsWithFewRequestsTogetherKeepTheShare) {
  EXPECT_NEAR(static_cast<double>(CountTarget(80, 10, 0.02)), 16, 2);
  EXPECT_NEAR(static_cast<double>(CountTarget(80, 1, 0.2)), 16, 2);
  EXPECT_NEAR(static_cast<double>(CountTarget(1, 5000, 0.02)), 100, 1);
}

ServiceEndpoints MakeEndpoints(const std::optional<RoutedRollout>& rollout) {
  ServiceEndpoints endpoints;
  for (const char* version : {"v1", "v2", "v3"}) {
    RoutedServer server;
    server.m_id = version;
    server.m_software_version = version;
    endpoints.m_servers[version] = server;
  }
  endpoints.m_rollout = rollout;
  return endpoints;
}

std::string AllowedServers(const ServiceEndpoints& endpoints,
                           std::optional<VersionGroup> group) {
  std::string allowed;
  for (const auto& [id, server] : endpoints.m_servers) {
    allowed += VersionChoice(endpoints, group).Allows(server) ? id : "";
  }
  return allowed;
}

// A host that knows only the order, or a rollback, must not use the version.
TEST(VersionChoiceTest, ServersAreUsedAsTheRecordSays) {
  EXPECT_EQ(AllowedServers(MakeEndpoints(std::nullopt), std::nullopt),
            "v1v2v3");
  const auto unknown = MakeEndpoints(MakeRollout(0));
  EXPECT_EQ(AllowedServers(unknown, VersionGroup::kOthers), "v1v3");
  EXPECT_EQ(AllowedServers(unknown, std::nullopt), "v1v3");
  EXPECT_EQ(
      AllowedServers(MakeEndpoints(MakeRollout(0.5)), VersionGroup::kTarget),
      "v2");
  RoutedRollout rejected;
  rejected.m_rejected = {"v2"};
  EXPECT_EQ(AllowedServers(MakeEndpoints(rejected), VersionGroup::kOthers),
            "v1v3");
}

// Once a rollout is completed, the loss of the version's last server must not
// leave a service without servers.
TEST(VersionChoiceTest, OthersAreUsedIfNoServerOfTheTargetIsLeft) {
  ServiceEndpoints endpoints = MakeEndpoints(MakeRollout(1));
  EXPECT_EQ(AllowedServers(endpoints, VersionGroup::kTarget), "v2");
  endpoints.m_servers.erase("v2");
  EXPECT_EQ(AllowedServers(endpoints, VersionGroup::kTarget), "v1v3");
}

}  // namespace
}  // namespace foxtail
