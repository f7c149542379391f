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

/// A traffic thread: accepts client connections and dispatches requests to the
/// backend servers whose leases it holds. Other threads interact with it only
/// through its mailbox.
class TrafficThread {
 public:
  /// `index` is the number of the thread. `trigger_report(index, cell)` runs on
  /// this thread when it should report to the cell's controller immediately.
  TrafficThread(
      const EntrySettings& settings,
      uint32_t index,
      EventLog& events,
      std::function<void(uint32_t, const std::string&)> trigger_report);
  ~TrafficThread();

  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Starts the thread and returns once it listens. Throws
  /// `Error(kSettingInvalid)` if an address is in use.
  void Start();

  /// Builds this thread's report for a cell.
  SyncRequest BuildReport(const std::string& cell);

  /// Applies the response to a report that was sent at `sent_at`.
  void Apply(const SyncRequest& report,
             const SyncResponse& response,
             TimePoint sent_at);

  /// Records that a report got no usable response.
  void OnReportLost(const SyncRequest& report);

  /// Makes the health check fail from now on.
  void FailHealth();

  /// Returns the number of backend servers that the thread still leases or
  /// sends to, plus the number of unreported deduplication states.
  size_t CountUnreleased();

  /// Completes the requests in progress and ends the thread. Returns whether
  /// all requests were completed within `timeout`.
  bool Stop(Duration timeout);

  const DispatcherIdentity& GetIdentity() const { return m_identity; }

 private:
  class Core;

  /// Null, or the reason why the thread could not start.
  using StartPromise = boost::fibers::promise<std::exception_ptr>;

  void Run(StartPromise& started);

  const EntrySettings& m_settings;
  uint32_t m_index;
  EventLog& m_events;
  std::function<void(uint32_t, const std::string&)> m_trigger_report;
  DispatcherIdentity m_identity;
  Mailbox m_mailbox;
  Core* m_core = nullptr;
  std::thread m_thread;
};

}  // namespace foxtail
