#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/event.h"
#include "core/time.h"
#include "entry/entry_settings.h"
#include "messages/sync_messages.h"
#include "runtime/mailbox.h"

namespace foxtail {

/// One thread that carries traffic: it accepts callers, dispatches to the
/// backend servers whose leases it holds, and shares nothing with other threads
/// but calls through its mailbox.
class TrafficThread {
 public:
  /// `index` is the number of the thread; `kick(index, cell)` runs on this
  /// thread when the controller should hear from it at once.
  TrafficThread(const EntrySettings& settings,
                uint32_t index,
                EventLog& events,
                std::function<void(uint32_t, const std::string&)> kick);
  ~TrafficThread();

  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Starts the thread; returns once it listens. Throws
  /// `Error(kSettingInvalid)` when an address is in use.
  void Start();

  /// Builds this thread's report for a cell.
  SyncRequest BuildReport(const std::string& cell);

  /// Passes an answer to a report on to the thread.
  void Apply(const SyncRequest& report,
             const SyncResponse& response,
             TimePoint sent);

  /// Passes on that a report was not answered.
  void OnReportLost(const SyncRequest& report);

  /// From now on the health check fails.
  void FailHealth();

  /// Returns how many dispatch leases and unreported memories the thread still
  /// holds.
  size_t CountHeld();

  /// Answers requests in progress and ends the thread. Returns whether all
  /// requests were answered within `timeout`.
  bool Stop(Duration timeout);

  const DispatcherIdentity& GetName() const { return m_name; }

 private:
  class Core;

  /// Null, or why the thread could not start.
  using StartPromise = boost::fibers::promise<std::exception_ptr>;

  void Run(StartPromise& started);

  const EntrySettings& m_settings;
  uint32_t m_index;
  EventLog& m_events;
  std::function<void(uint32_t, const std::string&)> m_kick;
  DispatcherIdentity m_name;
  Mailbox m_mailbox;
  Core* m_core = nullptr;
  std::thread m_thread;
};

}  // namespace foxtail
