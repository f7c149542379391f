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
struct ControlPorts {
  std::function<std::unique_ptr<TableStore>()> m_make_store;
  std::function<std::unique_ptr<ServerControl>()> m_make_orders;
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
  virtual void OnLeaderTokens(LeaderTokens word) = 0;
};

/// The thread that owns the control tables: watches the store, runs the tick
/// when something is due, and carries out what the systems ask for.
class ControlThread {
 public:
  ControlThread(const GatewaySettings& settings,
                const DirectoryDecoder& decoder,
                ControlPorts ports,
                ControlListener& listener,
                EventLog& events);
  ~ControlThread();

  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Starts the thread, which goes on until the process ends.
  void Start();

  /// Begins a planned stop: a leader gives its lease back.
  void Leave();

  /// Takes over demand and load of a traffic thread. Any thread.
  void Report(MemberReport report);

 private:
  using Apply = void (DirectorySystem::*)(GatewayTables&,
                                          const std::vector<StoredRow>&,
                                          bool,
                                          const Now&) const;

  /// A table that is watched.
  struct WatchedTable {
    WatchedKind m_kind = kOperatorRows;
    std::string m_name;
    Apply m_apply = nullptr;

    /// Pause after changes, in which more of them gather.
    Duration m_gather{};
    bool m_read = false;
    bool m_failing = false;
  };

  void Run();
  void OpenSocket();
  void Watch(WatchedTable& table);
  bool WatchOnce(WatchedTable& table);
  bool TakeResult(WatchedTable& table,
                  const RowsResult& result,
                  bool complete,
                  BootTime sent);
  void TakeRows(WatchedTable& table, const RowsResult& result, bool complete);
  void TakeNews(RelayedRows news);
  void ProbeLoop();
  void NoteContact(WatchedTable& table, bool answered, StoreOutcome outcome);
  void TickLoop();
  void Tick();
  void Flush();
  void ReceiveLoop();
  void OnDatagram(const std::string& bytes);
  void Carry(ControlCommand command);
  void CarryOut(const GrantCommand& command);
  void CarryOut(const ReleaseCommand& command);
  void CarryOut(const ReadRowCommand& command);
  void CarryOut(const WriteRowCommand& command);
  void CarryOut(const SendDatagramCommand& command);
  void Wake();

  GatewaySettings m_settings;
  DirectorySystem m_directory;
  std::vector<WatchedTable> m_watched;
  ControlPorts m_ports;
  ControlListener& m_listener;
  EventLog& m_events;
  GatewayTables m_tables;
  std::unique_ptr<TableStore> m_store;
  std::unique_ptr<ServerControl> m_orders;
  std::unique_ptr<boost::asio::ip::udp::socket> m_socket;
  Mailbox m_mailbox;
  FiberEvent m_wake;

  /// This daemon must watch the store itself from now on.
  FiberEvent m_watch_wanted;
  BootTime m_published_read_at;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace foxtail
