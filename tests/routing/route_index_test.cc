#include "routing/route_index.h"

#include <gtest/gtest.h>

#include <functional>

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {
namespace {

RoutingConfig MakeConfig() {
  RoutingConfig config;
  const auto route = [](const char* name, const char* prefix) {
    RouteRow row;
    row.m_name = name;
    row.m_host = "a.example";
    row.m_prefix = prefix;
    return row;
  };
  config.m_routes = {route("all", "/"), route("orders", "/orders/"),
                     route("urgent", "/orders/urgent/")};
  RoutedWorkspace workspace;
  workspace.m_name = "club-1";
  workspace.m_key_digests = {SecretDigest("key-1")};
  config.m_workspaces = {workspace};
  return config;
}

ErrorCode CodeOf(const std::function<void()>& body) {
  try {
    body();
  } catch (const Error& error) {
    return error.GetCode();
  }
  return ErrorCode::kInternal;
}

TEST(RouteIndexTest, MatchesLongestPrefixOfTheHost) {
  const RouteIndex index(MakeConfig());
  EXPECT_EQ(index.Match("a.example", "/orders/urgent/1").m_name, "urgent");
  EXPECT_EQ(index.Match("a.example:80", "/orders/urgent").m_name, "orders");
  EXPECT_EQ(index.Match("a.example", "/ordersX").m_name, "all");
  EXPECT_EQ(CodeOf([&] { index.Match("b.example", "/orders/1"); }),
            ErrorCode::kRouteUnknown);
  EXPECT_EQ(CodeOf([&] { index.Match("a.example", "*"); }),
            ErrorCode::kRouteUnknown);
}

TEST(RouteIndexTest, AuthenticatesKeysByTheirDigest) {
  const RouteIndex index(MakeConfig());
  EXPECT_EQ(index.Authenticate("key-1").m_name, "club-1");
  EXPECT_EQ(CodeOf([&] { index.Authenticate("key-2"); }),
            ErrorCode::kApiKeyUnknown);
  EXPECT_EQ(CodeOf([&] { index.Authenticate(""); }), ErrorCode::kApiKeyMissing);
}

}  // namespace
}  // namespace foxtail
