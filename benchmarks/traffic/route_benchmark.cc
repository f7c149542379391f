#include <benchmark/benchmark.h>

#include "traffic/access_index.h"
#include "traffic/traffic_tables.h"

namespace foxtail {
namespace {

CellRoutes BuildRoutes(uint32_t partitions) {
  CellRoutes routes;
  routes.m_service.m_partitions = partitions;
  routes.m_servers.resize(std::max(1U, partitions / 4));
  for (uint32_t i = 0; i < partitions; ++i) {
    routes.m_partitions.push_back(
        {i, i % static_cast<uint32_t>(routes.m_servers.size()), 1, false});
  }
  return routes;
}

// Measures the lookup of the server for a partition key.
void MeasureRouteLookup(benchmark::State& state) {
  const CellRoutes routes = BuildRoutes(static_cast<uint32_t>(state.range(0)));
  uint64_t key = 0;
  for (auto _ : state) {
    const PartitionNumber number =
        PartitionOfKey(routes.m_service, "key-" + std::to_string(++key));
    benchmark::DoNotOptimize(FindPartition(routes, number));
  }
  state.counters["bytes"] = static_cast<double>(
      routes.m_partitions.capacity() * sizeof(RoutePartition) +
      routes.m_servers.capacity() * sizeof(RouteServer));
}
BENCHMARK(MeasureRouteLookup)->Arg(100)->Arg(1600)->Arg(25600);

// Measures the lookup of the workspace for an API key.
void MeasureAuthenticate(benchmark::State& state) {
  auto view = std::make_shared<AccessView>();
  for (int64_t i = 0; i < state.range(0); ++i) {
    WorkspaceConfig workspace;
    workspace.m_name = "club-" + std::to_string(i);
    workspace.m_api_keys = {{"first", std::to_string(i)}};
    view->m_workspaces.push_back(workspace);
  }
  view->m_workspaces[0].m_api_keys[0].m_digest =
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
  const AccessIndex index(view);
  for (auto _ : state) {
    benchmark::DoNotOptimize(index.Authenticate("secret"));
  }
}
BENCHMARK(MeasureAuthenticate)->Arg(10)->Arg(10000);

}  // namespace
}  // namespace foxtail
