#pragma once

#include <boost/fiber/future/promise.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_tick.h"
#include "core/event.h"
#include "daemon/daemon_settings.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "store/record_repository.h"

namespace foxtail {

/// Runs the control tick on the control thread: passes the messages that
/// arrived since the last tick to the systems and executes the commands that
/// the systems produce. All methods are called on fibers of that thread.
class ControlLoop {
 public:
  ControlLoop(const DaemonSettings& settings,
              ControlProcess self,
              RecordRepository& store,
              EventLog& events);

  /// Runs ticks until `BeginShutdown` was called and all leases are released.
  void Run();

  /// Begins a graceful shutdown: the leases are released.
  void BeginShutdown();

  /// Handles a dispatcher's sync request; the calling fiber waits for the
  /// response.
  SyncResponse HandleSync(SyncRequest request);

  /// Handles an entry's token request; the calling fiber waits for the
  /// response.
  TokenResponse HandleTokenRequest(TokenRequest request);

  /// Handles a lease holder's promise request; the calling fiber waits for the
  /// result. Returns whether the promise is given.
  bool HandlePromiseRequest(const std::string& cell,
                            const ControlProcess& holder,
                            uint64_t epoch);

  /// Records another control process that responded.
  void RecordPeer(const ControlProcess& peer, const std::string& data_centre);

  /// Reads the configuration again without waiting for the next poll.
  void PollConfig();

  const ControlTables& GetTables() const { return m_tables; }

  /// Longest duration of a tick so far.
  Duration GetLongestTick() const { return m_longest_tick; }

  /// Number of ticks so far.
  uint64_t GetTickCount() const { return m_tick_count; }

 private:
  // Requests whose fibers wait for a response, by handle.
  template <typename Response>
  using PendingRequests = std::map<uint64_t, boost::fibers::promise<Response>>;

  bool CanExit() const;
  void Tick();
  void Execute(ControlOutbox& outbox);
  void ExecuteRowCommands(ControlOutbox& outbox);
  void ExecuteServerCommands(ControlOutbox& outbox);
  void CompletePendingRequests(ControlOutbox& outbox);
  void RequestPromise(const RequestPromiseCommand& command);
  void SendGrantToServer(const SendGrantCommand& grant);
  void ProbeServer(const SendProbeCommand& probe);
  void RecordPlatformResponse(bool responded);

  template <typename Response, typename Commands>
  static void CompleteRequests(PendingRequests<Response>& pending,
                               Commands& commands);

  const DaemonSettings& m_settings;
  RecordRepository& m_store;
  EventLog& m_events;
  HttpClient m_client;
  ControlTables m_tables;
  ControlTick m_tick;
  ControlInbox m_inbox;
  FiberEvent m_input_arrived;
  uint64_t m_last_handle = 0;
  PendingRequests<SyncResponse> m_pending_syncs;
  PendingRequests<TokenResponse> m_pending_tokens;
  PendingRequests<bool> m_pending_promises;
  bool m_platform_reachable = true;
  Duration m_longest_tick{0};
  uint64_t m_tick_count = 0;
};

}  // namespace foxtail
