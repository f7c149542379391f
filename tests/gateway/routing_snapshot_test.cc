#include "gateway/routing_snapshot.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

// A restarted host that had not read the other hosts yet used the cold-start
// rate of all of them.
TEST(RoutingSnapshotTest, RequestsAreNotRoutedBeforeTheHostsAreKnown) {
  GatewayTables tables;
  tables.m_routes = std::make_shared<const RouteIndex>(RoutingConfig());
  EXPECT_EQ(BuildSnapshot(tables)->m_routes, nullptr);
  tables.m_progress[kClusterRows].m_loaded = true;
  EXPECT_EQ(BuildSnapshot(tables)->m_routes, tables.m_routes);
}

}  // namespace
}  // namespace foxtail
