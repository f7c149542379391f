#include "support/fake_world.h"

#include <algorithm>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStepDuration{10};
constexpr milliseconds kMaxRunTime{10'000};

}  // namespace

Configuration OneServiceConfiguration() {
  Configuration configuration;
  configuration.m_data_centres = {{"dc-0"}, {"dc-1"}};
  ServiceConfig service;
  service.m_name = "catalogue";
  service.m_partitions = 8;
  for (int i = 0; i < 4; ++i) {
    BackendServerConfig server;
    server.m_name = "server-" + std::to_string(i);
    server.m_address = "127.0.0.1:" + std::to_string(1000 + i);
    server.m_data_centre = "dc-" + std::to_string(i % 2);
    service.m_servers.push_back(server);
  }
  configuration.m_services = {service};
  return configuration;
}

RowResult FakeStore::Read(const RowKey& key) {
  if (m_down) {
    return {};
  }
  const auto row = m_rows.find(key);
  if (row == m_rows.end()) {
    return {RowOutcome::kVersionMismatch, 0, {}};
  }
  return row->second;
}

RowResult FakeStore::Write(const RowKey& key,
                           uint64_t if_version,
                           const RecordValue& value) {
  if (m_down) {
    return {};
  }
  const auto row = m_rows.find(key);
  const uint64_t version = row == m_rows.end() ? 0 : row->second.m_version;
  if (version != if_version) {
    return {RowOutcome::kVersionMismatch, version, {}};
  }
  m_rows[key] = {RowOutcome::kDone, ++m_last_version, value};
  if (m_lose_next_response) {
    m_lose_next_response = false;
    return {};
  }
  return {RowOutcome::kDone, m_last_version, {}};
}

std::vector<std::string> FakeStore::List(const std::string& table) {
  std::vector<std::string> keys;
  for (const auto& [key, row] : m_rows) {
    if (key.m_table == table) {
      keys.push_back(key.m_key);
    }
  }
  return keys;
}

FakeWorld::FakeWorld(size_t nodes) {
  m_now.m_steady = TimePoint(std::chrono::hours(1));
  m_now.m_wall = WallTime(std::chrono::hours(1));
  for (size_t i = 0; i < nodes; ++i) {
    FakeNode node;
    node.m_tables.m_self = {"run-" + std::to_string(i),
                            "127.0.0.1:" + std::to_string(i + 1)};
    node.m_tables.m_data_centre = "dc-" + std::to_string(i % 2);
    node.m_tables.m_started_at = m_now.m_steady;
    node.m_tick = std::make_unique<ControlTick>(
        std::make_unique<BoundedLoadPlacement>(1.1));
    m_nodes.push_back(std::move(node));
  }
}

void FakeWorld::Configure(const Configuration& configuration) {
  PlanRecord plan;
  plan.m_id = "p1";
  plan.m_configuration = configuration;
  m_store.Write({"plan", "p1"}, 0, plan);
  m_store.Write({"config", "current"}, 0, CurrentConfigRecord{1, "p1", 0});
}

void FakeWorld::RunFor(Duration duration) {
  for (const TimePoint end = m_now.m_steady + duration; m_now.m_steady < end;) {
    Step();
  }
}

bool FakeWorld::RunUntil(const std::function<bool()>& condition) {
  for (const TimePoint end = m_now.m_steady + kMaxRunTime;
       m_now.m_steady < end;) {
    if (condition()) {
      return true;
    }
    Step();
  }
  return condition();
}

bool FakeWorld::RunUntilHolder(const std::string& cell) {
  return RunUntil([&] { return HolderOf(cell) != kNoNode; });
}

size_t FakeWorld::HolderOf(const std::string& cell) const {
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    const auto& cells = m_nodes[i].m_tables.m_cells;
    const CellId id =
        cells.FindIf([&](const CellRow& row) { return row.m_name == cell; });
    if (id.IsValid() && HoldsAuthority(cells.Get(id), m_now.m_steady)) {
      return i;
    }
  }
  return kNoNode;
}

void FakeWorld::UpdateMaxHolders() {
  std::map<std::string, size_t> holders;
  for (const FakeNode& node : m_nodes) {
    node.m_tables.m_cells.ForEach([&](auto, const CellRow& cell) {
      holders[cell.m_name] += HoldsAuthority(cell, m_now.m_steady);
    });
  }
  for (const auto& [cell, count] : holders) {
    m_max_holders = std::max(m_max_holders, count);
  }
}

void FakeWorld::Step() {
  m_now.m_steady += kStepDuration;
  m_now.m_wall += kStepDuration;
  DeliverTimedOutCalls();
  for (FakeNode& node : m_nodes) {
    if (!node.m_paused) {
      RunNode(node);
    }
  }
  UpdateMaxHolders();
}

void FakeWorld::RunNode(FakeNode& node) {
  for (const FakeNode& other : m_nodes) {
    if (!other.m_paused) {
      node.m_inbox.m_peer_responses.push_back(
          {other.m_tables.m_self, other.m_tables.m_data_centre});
    }
  }
  ControlInbox inbox;
  std::swap(inbox, node.m_inbox);
  ControlOutbox outbox;
  node.m_tick->Run(node.m_tables, inbox, outbox, m_now);
  ExecuteCommands(node, outbox);
}

void FakeWorld::ExecuteCommands(FakeNode& node, ControlOutbox& outbox) {
  for (const ReadRecordCommand& read : outbox.m_reads) {
    DeliverRowResponse(node, {read.m_purpose, read.m_cell, false,
                              m_store.Read(read.m_key), m_now.m_steady});
  }
  for (const WriteRecordCommand& write : outbox.m_writes) {
    DeliverRowResponse(
        node, {write.m_purpose, write.m_cell, true,
               m_store.Write(write.m_key, write.m_if_version, write.m_value),
               m_now.m_steady});
  }
  for (const RequestPromiseCommand& ask : outbox.m_promise_requests) {
    RequestPromise(node, ask);
  }
  for (const PromiseResponseCommand& promise : outbox.m_promise_responses) {
    const auto found = m_pending_promises.find(promise.m_handle);
    if (found != m_pending_promises.end()) {
      found->second(promise.m_given);
      m_pending_promises.erase(found);
    }
  }
  for (const SendGrantCommand& grant : outbox.m_grants) {
    node.m_inbox.m_grant_responses.push_back(
        {grant.m_server, grant.m_number, true, "run"});
  }
  for (const SendProbeCommand& probe : outbox.m_probes) {
    node.m_inbox.m_probe_responses.push_back({probe.m_server, true, "run"});
  }
  for (const TokenResponseCommand& command : outbox.m_token_responses) {
    m_token_responses[command.m_handle] = command.m_response;
  }
}

void FakeWorld::DeliverRowResponse(FakeNode& node, RowResponse response) {
  if (m_store.m_down) {
    m_timed_out_calls.push_back(
        {m_now.m_steady + m_store_timeout, &node, std::move(response)});
    DeliverTimedOutCalls();
  } else {
    node.m_inbox.m_row_responses.push_back(std::move(response));
  }
}

void FakeWorld::DeliverTimedOutCalls() {
  std::erase_if(m_timed_out_calls, [&](TimedOutCall& call) {
    const bool due = m_now.m_steady >= call.m_due_at;
    if (due) {
      call.m_node->m_inbox.m_row_responses.push_back(
          std::move(call.m_response));
    }
    return due;
  });
}

void FakeWorld::RequestPromise(FakeNode& node,
                               const RequestPromiseCommand& ask) {
  for (FakeNode& other : m_nodes) {
    if (other.m_tables.m_self != ask.m_standby || other.m_paused) {
      continue;
    }
    const uint64_t handle = ++m_last_handle;
    other.m_inbox.m_promise_requests.push_back(
        {handle, ask.m_cell_name, node.m_tables.m_self, ask.m_epoch});
    m_pending_promises[handle] = [&node, ask,
                                  sent = m_now.m_steady](bool given) {
      node.m_inbox.m_promise_responses.push_back(
          {ask.m_cell, ask.m_standby, ask.m_epoch, given, sent});
    };
  }
}

double FakeWorld::RequestTokens(size_t node,
                                const std::string& workspace,
                                double wanted) {
  const uint64_t handle = ++m_last_handle;
  TokenRequest request;
  request.m_dispatcher = {"entry-" + std::to_string(handle), "run"};
  request.m_demands = {{workspace, 0, 0, wanted}};
  m_nodes.at(node).m_inbox.m_token_requests.push_back(
      {handle, request, m_now.m_steady});
  RunNode(m_nodes.at(node));
  const TokenResponse& response = m_token_responses[handle];
  return response.m_grants.empty() ? 0 : response.m_grants[0].m_tokens;
}

}  // namespace foxtail
