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
#include "runtime/fiber_event.h"
#include "runtime/mailbox.h"
#include "store/table_store.h"

namespace foxtail {

/// Makes the clients that need the control thread's fibers.
struct ControlClientFactories {
  std::function<std::unique_ptr<TableStore>()> m_make_store;
  std::function<std::unique_ptr<ServerControl>()> m_make_server_control;
};

/// What the control thread tells others.
class ControlListener {
 public:
  virtual ~ControlListener() = default;

  /// A new snapshot is to be acted on. Called on the control thread.
  virtual void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) = 0;

  /// All configuration that was acknowledged before this time is in the
  /// snapshots handed over so far. Called on the control thread.
  virtual void OnFreshness(BootTime operators_read_at) = 0;

  /// The leader answered a report. Called on the control thread.
  virtual void OnLeaderWord(LeaderWord tokens) = 0;
};

/// The thread that owns the control tables: watches the store, runs the tick
/// when something is due, and carries out what the systems ask for.
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

  /// Starts the thread, which goes on until the process ends.
  void Start();

  /// Begins a planned stop: a leader gives its lease back.
  void BeginShutdown();

  /// Takes over demand and load of a traffic thread. Any thread.
  void Report(MemberReport report);

 private:
  using ApplyFunction = void (DirectorySystem::*)(GatewayTables&,
                                                  const std::vector<StoredRow>&,
                                                  bool,
                                                  const Now&) const;

  /// A table that is watched.
  struct WatchedTable {
    WatchedKind m_kind = kOperatorRows;
    std::string m_name;
    ApplyFunction m_apply = nullptr;

    /// Pause after changes, in which more of them gather.
    Duration m_batch_delay{};
    bool m_loaded = false;
    bool m_failing = false;
  };

  void Run();
  void OpenSocket();
  void WatchLoop(WatchedTable& table);
  bool WatchOnce(WatchedTable& table);
  bool ApplyResult(WatchedTable& table,
                   const RowsResult& result,
                   bool complete,
                   BootTime sent_at);
  void ApplyRows(WatchedTable& table, const RowsResult& result, bool complete);
  void ApplyRelayedRows(RowsNews relayed);
  void ProbeLoop();
  void UpdateReachability(WatchedTable& table,
                          bool succeeded,
                          StoreOutcome outcome);
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
  void Execute(const SendCommand& command);
  void Wake();

  GatewaySettings m_settings;
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

  /// This daemon must watch the store itself from now on.
  FiberEvent m_watch_needed;
  BootTime m_published_read_at;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace foxtail
