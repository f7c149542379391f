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

/// Runs the control tick on the control thread: gathers what arrived, runs the
/// systems, and carries out what they want done. All calls are made on fibers
/// of that thread.
class ControlLoop {
 public:
  ControlLoop(const DaemonSettings& settings,
              ControlProcess self,
              RecordRepository& store,
              EventLog& events);

  /// Runs ticks until `Stop` and all leases are given back.
  void Run();

  /// Begins a planned stop: leases are given back.
  void Stop();

  /// Answers a dispatcher's sync request; waits until there is an answer.
  SyncResponse Sync(SyncRequest request);

  /// Answers an entry's request for tokens.
  TokenResponse Tokens(TokenRequest request);

  /// Answers a holder that asks for a promise.
  bool Promise(const std::string& cell,
               const ControlProcess& holder,
               uint64_t epoch);

  /// Notes another control process.
  void NotePeer(const ControlProcess& peer, const std::string& data_centre);

  /// Reads the configuration again at once.
  void PollConfig();

  const ControlTables& GetTables() const { return m_tables; }

  /// Longest tick so far, and how many there were.
  Duration GetLongestTick() const { return m_longest_tick; }
  uint64_t GetTickCount() const { return m_tick_count; }

 private:
  template <typename Response>
  using Waiting = std::map<uint64_t, boost::fibers::promise<Response>>;

  bool MayEnd() const;
  void Tick();
  void CarryOut(ControlOutbox& outbox);
  void CarryOutRows(ControlOutbox& outbox);
  void CarryOutServers(ControlOutbox& outbox);
  void AnswerWaiting(ControlOutbox& outbox);
  void AskForPromise(const AskPromise& ask);
  void SendGrantTo(const SendGrant& grant);
  void ProbeServer(const SendProbe& probe);
  void NotePlatform(bool answers);

  template <typename Response, typename Answers>
  static void Complete(Waiting<Response>& waiting, Answers& answers);

  const DaemonSettings& m_settings;
  RecordRepository& m_store;
  EventLog& m_events;
  HttpClient m_client;
  ControlTables m_tables;
  ControlTick m_tick;
  ControlInbox m_inbox;
  FiberEvent m_arrived;
  uint64_t m_last_handle = 0;
  Waiting<SyncResponse> m_syncs;
  Waiting<TokenResponse> m_tokens;
  Waiting<bool> m_promises;
  bool m_platform_answers = true;
  Duration m_longest_tick{0};
  uint64_t m_tick_count = 0;
};

}  // namespace foxtail
