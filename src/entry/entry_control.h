#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/event.h"
#include "entry/controller_finder.h"
#include "entry/traffic_thread.h"
#include "runtime/http_client.h"

namespace foxtail {

/// The control thread of an entry. For each traffic thread and cell, it sends
/// reports to the cell's controller and applies the responses to the thread.
class EntryControl {
 public:
  EntryControl(const EntrySettings& settings,
               EventLog& events,
               std::vector<std::unique_ptr<TrafficThread>>& threads);

  /// Starts the report loops of the access cell. The loops of the services
  /// start when the access cell lists the services.
  void Start();

  /// Sends a report of a thread and cell immediately. Thread-safe.
  void TriggerReport(uint32_t thread, const std::string& cell);

  /// Reports to the controllers that this entry wants no more dispatch leases.
  void BeginShutdown();

  /// Sends a final report of every thread and cell, and returns once each has a
  /// response or has failed.
  void ReportAll();

  /// Stops all report loops and returns once they have ended.
  void Stop();

  /// Executes calls from other threads, in a fiber of the control thread.
  void Loop() { m_mailbox.Loop(); }

 private:
  /// Reports the state of one cell at one traffic thread.
  struct Reporter {
    Reporter(uint32_t thread,
             std::string cell,
             std::vector<std::string> control_processes)
        : m_thread(thread),
          m_cell(std::move(cell)),
          m_finder(std::move(control_processes)) {}

    uint32_t m_thread;
    std::string m_cell;
    ControllerFinder m_finder;

    /// A report besides the loop's is in flight, and a further one is
    /// requested.
    bool m_extra_report_in_flight = false;
    bool m_extra_report_requested = false;
  };

  void StartReporter(uint32_t thread, const std::string& cell);
  void RunReportLoop(Reporter& reporter);
  void RunExtraReports(Reporter& reporter);
  bool SendReport(Reporter& reporter);
  void ApplyAccessView(const AccessView& view);

  const EntrySettings& m_settings;
  EventLog& m_events;
  std::vector<std::unique_ptr<TrafficThread>>& m_threads;
  std::vector<std::string> m_control_processes;
  HttpClient m_client;
  Mailbox m_mailbox;
  std::map<std::pair<uint32_t, std::string>, std::unique_ptr<Reporter>>
      m_reporters;
  int m_running_fibers = 0;
  uint64_t m_config_version = 0;

  /// Reports state that this entry is shutting down.
  bool m_shutting_down = false;

  /// The report loops end.
  bool m_stopping = false;
};

}  // namespace foxtail
