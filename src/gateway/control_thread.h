#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "core/event.h"
#include "gateway/directory_system.h"
#include "gateway/gateway_tables.h"
#include "gateway/routing_snapshot.h"
#include "gateway/server_control.h"
#include "gateway/stall_detector.h"
#include "gateway/store_clock.h"
#include "gateway/store_retry.h"
#include "runtime/fiber_event.h"
#include "runtime/mailbox.h"
#include "store/table_store.h"

namespace foxtail {

/// Creates the clients of store and servers on the control thread, as their
/// calls block its fibers.
struct ControlClientFactories {
  std::function<std::unique_ptr<TableStore>()> m_make_store;
  std::function<std::unique_ptr<ServerControl>()> m_make_server_control;
};

/// Receives the results of the control thread. All methods are called on the
/// control thread.
class ControlListener {
 public:
  virtual ~ControlListener() = default;

  /// A new routing snapshot replaces the one before.
  virtual void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) = 0;

  /// The snapshots delivered so far contain all configuration that was
  /// acknowledged before this time.
  virtual void OnFreshness(BootTime configuration_read_at) = 0;

  /// The leader's response to a report arrived, with tokens for the rate limits
  /// of the workspaces.
  virtual void OnLeaderTokens(LeaderTokens tokens) = 0;

  /// Called at the interval of a `StallDetector`: the listener finds out here
  /// whether its own thread still runs.
  virtual void CheckProgress() = 0;
};

/// Thread that owns the control tables: watches the store, runs the systems
/// when one of them is due, and executes the commands that the systems queue.
class ControlThread {
 public:
  ControlThread(const GatewaySettings& settings,
                const DirectoryDecoder& decoder,
                ControlClientFactories factories,
                ControlListener& listener,
                EventLog& events);
  ~ControlThread();

  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Starts the thread, which runs until the process ends.
  void Start();

  /// Begins a graceful shutdown, in which a leader releases its lease.
  void BeginShutdown();

  /// Queues a traffic thread's report of demand and load for the leader. May be
  /// called on any thread.
  void Report(MemberReport report);

  /// Queues what a traffic thread has seen of the running rollouts for the
  /// leader. May be called on any thread.
  void ReportRollouts(std::vector<RolloutCounts> counts);

  /// Tells the leader which servers are leaving. May be called on any thread.
  void ReportLeavingServers(std::vector<LeavingServer> servers);

 private:
  using ApplyFunction = void (DirectorySystem::*)(GatewayTables&,
                                                  const std::vector<StoredRow>&,
                                                  bool,
                                                  const Now&) const;

  struct WatchedTable {
    WatchedKind m_kind = kOperatorRows;
    std::string m_name;
    ApplyFunction m_apply = nullptr;

    /// Delay after changes, so that the next read returns several at once.
    Duration m_batch_delay{};
    bool m_loaded = false;
    bool m_failing = false;

    /// The open watch; null if there is none.
    std::shared_ptr<Cancellation> m_open_watch = nullptr;
  };

  void Run();
  void OpenSocket();
  void WatchLoop(WatchedTable& table);
  bool ReadOrWatch(WatchedTable& table);
  RowsResult Watch(WatchedTable& table, bool& cancelled);
  bool ApplyResult(WatchedTable& table,
                   const RowsResult& result,
                   bool complete,
                   BootTime sent_at);
  BootTime FindAnswerTime(const RowsResult& result, BootTime sent_at);
  bool AcceptEra(StoreOutcome outcome, uint64_t era);
  void FollowEra();
  void ApplyRows(WatchedTable& table, const RowsResult& result, bool complete);
  void Receive(const MemberReport& report, const Now& now);
  void Receive(const ReportResponse& response, const Now& now);
  void Receive(const LeaderAnnouncement& announcement, const Now& now);
  void Receive(RelayedRows& relayed, const Now& now);
  void Receive(const LeavingServersNotice& notice, const Now& now);
  void Receive(const RolloutReport& report, const Now& now);
  void Receive(const RolloutNotice& notice, const Now& now);
  void Receive(const HistoryRequest& request, const Now& now);
  void Receive(const HistoryResponse& response, const Now& now);
  void ProbeLoop();
  void Probe(WatchedTable& table);
  void RestartWatches();
  void UpdateReachability(WatchedTable& table,
                          bool succeeded,
                          StoreOutcome outcome);
  void ProgressLoop();
  void TickLoop();
  void Tick();
  void Flush();
  void ReceiveLoop();
  void OnDatagram(const std::string& bytes);
  void StartCommand(ControlCommand command);
  void Execute(const GrantCommand& command);
  void Execute(const ReleaseCommand& command);
  void Execute(const ReadRowCommand& command);
  void Execute(const WriteRowCommand& command);
  void Execute(const ReadRolloutStatusCommand& command);
  void Execute(const WriteRolloutStatusCommand& command);
  void Execute(const SendDatagramCommand& command);
  void Wake();

  GatewaySettings m_settings;
  const DirectoryDecoder& m_decoder;
  DirectorySystem m_directory;
  std::vector<WatchedTable> m_watched;
  ControlClientFactories m_factories;
  ControlListener& m_listener;
  EventLog& m_events;
  GatewayTables m_tables;
  std::unique_ptr<TableStore> m_store;
  std::unique_ptr<ServerControl> m_server_control;
  std::unique_ptr<boost::asio::ip::udp::socket> m_socket;
  Mailbox m_mailbox;
  FiberEvent m_wake;
  StoreRetry m_store_retry;
  StoreClock m_store_clock;

  /// Notified when reads of the store succeed again.
  FiberEvent m_store_reachable;

  /// Notified when this process must watch the store itself.
  FiberEvent m_watch_needed;

  /// Notified when it is known whether a member tells what was in force before
  /// the era.
  FiberEvent m_history_settled;
  BootTime m_published_read_at;

  /// Era in which the watched tables have been read or are being read.
  std::optional<uint64_t> m_followed_era;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace foxtail
