#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_tick.h"
#include "store/record_repository.h"

namespace foxtail {

/// Returns a configuration with one service "catalogue" of four servers,
/// "server-0" to "server-3", in "dc-0" and "dc-1".
Configuration OneServiceConfiguration();

/// Fake of the platform's tables: held in memory, synchronous, and with
/// injectable failures.
class FakeStore : public RecordRepository {
 public:
  RowResult Read(const RowKey& key) override;
  RowResult Write(const RowKey& key,
                  uint64_t if_version,
                  const RecordValue& value) override;
  std::vector<std::string> List(const std::string& table) override;

  bool m_down = false;

  /// The next write takes effect, but its response is lost.
  bool m_lose_next_response = false;

 private:
  std::map<RowKey, RowResult> m_rows;
  uint64_t m_last_version = 0;
};

/// Fake of a control process: runs the real control systems without any I/O.
struct FakeNode {
  ControlTables m_tables;
  ControlInbox m_inbox;
  std::unique_ptr<ControlTick> m_tick;
  bool m_paused = false;
};

/// Several fake control processes around a fake store, on a simulated clock.
class FakeWorld {
 public:
  static constexpr size_t kNoNode = SIZE_MAX;

  explicit FakeWorld(size_t nodes);

  /// Stores a configuration as the confirmed one.
  void Configure(const Configuration& configuration);

  /// Advances the clock in steps of 10 ms.
  void RunFor(Duration duration);

  /// Runs until the condition holds, for at most 10 s of simulated time;
  /// returns whether the condition holds.
  bool RunUntil(const std::function<bool()>& condition);

  /// Runs until a node has authority over the cell; returns false after 10 s of
  /// simulated time.
  bool RunUntilHolder(const std::string& cell);

  /// Returns the node that has authority over the cell by its own clock, or
  /// `kNoNode`. A paused node counts too: when resumed before its authority
  /// ends, the node could act.
  size_t HolderOf(const std::string& cell) const;

  /// Requests tokens from a node as a new dispatcher; returns the number of
  /// tokens granted.
  double RequestTokens(size_t node,
                       const std::string& workspace,
                       double wanted);

  TimePoint Now() const { return m_now.m_steady; }

  FakeStore m_store;
  std::vector<FakeNode> m_nodes;

  /// How long a call takes to fail while the store is down.
  Duration m_store_timeout{};

  /// Maximum number of nodes that had authority over one cell at the same time.
  size_t m_max_holders = 0;

 private:
  void Step();
  void RunNode(FakeNode& node);
  void ExecuteCommands(FakeNode& node, ControlOutbox& outbox);
  void DeliverRowResponse(FakeNode& node, RowResponse response);
  void DeliverTimedOutCalls();
  void RequestPromise(FakeNode& node, const RequestPromiseCommand& ask);
  void UpdateMaxHolders();

  /// A failed call of the store that times out at `m_due_at`.
  struct TimedOutCall {
    TimePoint m_due_at;
    FakeNode* m_node = nullptr;
    RowResponse m_response;
  };

  struct Now m_now;
  std::vector<TimedOutCall> m_timed_out_calls;
  uint64_t m_last_handle = 0;
  std::map<uint64_t, TokenResponse> m_token_responses;
  std::map<uint64_t, std::function<void(bool)>> m_pending_promises;
};

}  // namespace foxtail
