#include "routing/routing_difference.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

RoutingConfig MakeConfig() {
  RoutingConfig config;
  RouteRow route;
  route.m_name = "r";
  route.m_timeout = std::chrono::seconds(1);
  route.m_services = {{"s", 1}};
  config.m_routes = {route};
  config.m_services = {{"s", false, 1, 0}};
  config.m_workspaces = {{"w", {"digest-1", "digest-2"}, 5, 5, 0, false}};
  return config;
}

void ExpectChange(const RoutingConfig& after,
                  ConfigField field,
                  const std::string& before_text,
                  const std::string& after_text) {
  const auto differences = FindDifferences(MakeConfig(), after);
  ASSERT_EQ(differences.size(), 1U);
  EXPECT_EQ(differences[0].m_kind, DifferenceKind::kChanged);
  EXPECT_EQ(differences[0].m_field, field);
  EXPECT_EQ(differences[0].m_before, before_text);
  EXPECT_EQ(differences[0].m_after, after_text);
}

TEST(RoutingDifferenceTest, TheOrderOfEntriesIsNoDifference) {
  RoutingConfig before = MakeConfig();
  before.m_services.push_back({"t", false, 1, 0});
  RoutingConfig after = before;
  std::swap(after.m_services[0], after.m_services[1]);
  EXPECT_TRUE(FindDifferences(before, after).empty());
}

TEST(RoutingDifferenceTest, ChangedFieldsAreTold) {
  RoutingConfig after = MakeConfig();
  after.m_routes[0].m_timeout = std::chrono::milliseconds(1500);
  ExpectChange(after, ConfigField::kTimeout, "1", "1.5");
  after = MakeConfig();
  after.m_routes[0].m_services = {{"s", 3}};
  ExpectChange(after, ConfigField::kServices, "s:1", "s:3");
  after = MakeConfig();
  after.m_limits.m_body_limit = 7;
  ExpectChange(after, ConfigField::kBodyLimit, "1048576", "7");
}

// Keys and their digests are secrets.
TEST(RoutingDifferenceTest, KeysAreCountedAndNotShown) {
  RoutingConfig after = MakeConfig();
  after.m_workspaces[0].m_key_digests = {"digest-2", "digest-3", "digest-4"};
  ExpectChange(after, ConfigField::kKeys, "2 keys",
               "3 keys, 2 added, 1 removed");
}

TEST(RoutingDifferenceTest, AddedAndRemovedEntriesAreTold) {
  RoutingConfig after = MakeConfig();
  after.m_workspaces[0].m_name = "x";
  const auto differences = FindDifferences(MakeConfig(), after);
  ASSERT_EQ(differences.size(), 2U);
  EXPECT_EQ(differences[0].m_kind, DifferenceKind::kRemoved);
  EXPECT_EQ(differences[0].m_entry, "w");
  EXPECT_EQ(differences[1].m_kind, DifferenceKind::kAdded);
  EXPECT_EQ(differences[1].m_entry, "x");
}

}  // namespace
}  // namespace foxtail
