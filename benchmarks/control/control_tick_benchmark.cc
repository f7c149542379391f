#include "control/control_tick.h"

#include <benchmark/benchmark.h>

#include "control/partition_moves.h"
#include "messages/codec.h"

namespace foxtail {
namespace {

// Builds the tables of a held cell with stable partitions, 4 per server, and
// reporting dispatchers.
ControlTables BuildTables(uint32_t partitions, uint32_t dispatchers) {
  ControlTables tables;
  const TimePoint now = Clock::now();
  const uint32_t servers = std::max(1U, partitions / 4);
  tables.m_self = {"self", "127.0.0.1:1"};
  tables.m_config.m_loaded = true;
  tables.m_config.m_last_poll_sent_at = now;
  tables.m_config.m_next_poll_at = TimePoint::max();
  CellRow cell;
  cell.m_name = "catalogue";
  cell.m_service.m_name = cell.m_name;
  cell.m_service.m_partitions = partitions;
  cell.m_lease.m_phase = LeasePhase::kHolding;
  cell.m_lease.m_authority_until = TimePoint::max();
  cell.m_lease.m_confirmed_at = TimePoint::max();
  cell.m_lease.m_next_store_call_at = TimePoint::max();
  cell.m_assignment.m_phase = AssignmentPhase::kReady;
  cell.m_next_rebalance_at = TimePoint::max();
  const CellId cell_id = tables.m_cells.Insert(std::move(cell));
  CellRow& held = tables.m_cells.Get(cell_id);
  std::vector<DispatcherId> ids;
  for (uint32_t i = 0; i < dispatchers; ++i) {
    DispatcherRow row;
    row.m_cell = cell_id;
    row.m_identity = {"127.0.0.1:" + std::to_string(10000 + i), "run"};
    row.m_last_sync_at = now + std::chrono::hours(1);
    row.m_last_acknowledged_at = row.m_last_sync_at;
    ids.push_back(tables.m_dispatchers.Insert(row));
  }
  for (uint32_t i = 0; i < servers; ++i) {
    BackendServerRow server;
    server.m_cell = cell_id;
    server.m_config.m_name = "catalogue-" + std::to_string(i);
    server.m_config.m_address = "127.0.0.1:" + std::to_string(20000 + i);
    server.m_up = true;
    server.m_probed = true;
    server.m_next_probe_at = TimePoint::max();
    server.m_next_grant_at = TimePoint::max();
    server.m_dispatcher = ids[i % ids.size()];
    server.m_dispatch_lease_until = TimePoint::max();
    held.m_service.m_servers.push_back(server.m_config);
    held.m_servers[server.m_config.m_name] = tables.m_servers.Insert(server);
  }
  auto server = held.m_servers.begin();
  for (uint32_t i = 0; i < partitions; ++i) {
    PartitionRow row;
    row.m_cell = cell_id;
    row.m_number = i;
    row.m_epoch = 1;
    row.m_owner = server->second;
    held.m_partitions[i] = tables.m_partitions.Insert(row);
    if (++server == held.m_servers.end()) {
      server = held.m_servers.begin();
    }
  }
  held.m_routed_service = held.m_service;
  held.m_routes_dirty = true;
  return tables;
}

void MeasureIdleTick(benchmark::State& state) {
  ControlTables tables = BuildTables(static_cast<uint32_t>(state.range(0)), 10);
  ControlTick tick(std::make_unique<BoundedLoadPlacement>(1.1));
  for (auto _ : state) {
    ControlOutbox outbox;
    tick.Run(tables, ControlInbox(), outbox, ReadClocks());
    benchmark::DoNotOptimize(outbox);
  }
}
BENCHMARK(MeasureIdleTick)->Arg(100)->Arg(400)->Arg(1600)->Arg(6400);

// Measures a tick with one report of one dispatcher, in a cell with many
// dispatchers.
void MeasureSyncTick(benchmark::State& state) {
  ControlTables tables =
      BuildTables(400, static_cast<uint32_t>(state.range(0)));
  ControlTick tick(std::make_unique<BoundedLoadPlacement>(1.1));
  for (auto _ : state) {
    ControlInbox inbox;
    ReceivedSyncRequest asked;
    asked.m_request.m_cell = "catalogue";
    asked.m_request.m_dispatcher = {"127.0.0.1:10000", "run"};
    asked.m_received_at = Clock::now();
    inbox.m_sync_requests.push_back(asked);
    ControlOutbox outbox;
    tick.Run(tables, inbox, outbox, ReadClocks());
    benchmark::DoNotOptimize(outbox);
  }
}
BENCHMARK(MeasureSyncTick)->Arg(10)->Arg(45)->Arg(180);

// Measures the encoding and size of a cell's routes, as a dispatcher receives
// them.
void MeasureEncodeRoutes(benchmark::State& state) {
  ControlTables tables = BuildTables(static_cast<uint32_t>(state.range(0)), 10);
  ControlTick tick(std::make_unique<BoundedLoadPlacement>(1.1));
  ControlOutbox outbox;
  tick.Run(tables, ControlInbox(), outbox, ReadClocks());
  SyncResponse response;
  tables.m_cells.ForEach(
      [&](auto, const CellRow& cell) { response.m_routes = cell.m_routes; });
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = EncodeMessage(response).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(MeasureEncodeRoutes)->Arg(100)->Arg(400)->Arg(1600)->Arg(6400);

// Measures the encoding and size of a report and of a response without changes.
void MeasureEncodeQuietSync(benchmark::State& state) {
  SyncRequest request;
  request.m_cell = "catalogue";
  request.m_dispatcher = {"10.100.200.100:18180",
                          "0123456789abcdef0123456789abcdef"};
  request.m_data_centre = "region-1-zone-1";
  SyncResponse response;
  for (int64_t i = 0; i < state.range(0); ++i) {
    const std::string name = "catalogue-" + std::to_string(i);
    request.m_leased_servers.push_back(name);
    request.m_observations.push_back({name, 1, 0, 100, 0});
    request.m_loads.push_back({static_cast<PartitionNumber>(i), 100});
    response.m_leased_servers.push_back(name);
  }
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = EncodeMessage(request).size() + EncodeMessage(response).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(MeasureEncodeQuietSync)->Arg(1)->Arg(3)->Arg(10);

}  // namespace
}  // namespace foxtail
