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

/// The control thread of an entry: for each traffic thread and cell it carries
/// reports to the cell's controller and answers back.
class EntryControl {
 public:
  EntryControl(const EntrySettings& settings,
               EventLog& events,
               std::vector<std::unique_ptr<TrafficThread>>& threads);

  /// Starts the loops of the access cell; those of services follow as they
  /// become known.
  void Start();

  /// Sends a report of a thread and cell at once. Any thread may call it.
  void Kick(uint32_t thread, const std::string& cell);

  /// Tells the controllers that no dispatch lease is wanted any more.
  void Leave();

  /// Sends one last report of every link and returns when all are answered or
  /// have failed.
  void ReportAll();

  /// Ends all loops; returns when they have ended.
  void Stop();

  /// Runs calls from other threads; runs in a fiber of the control thread.
  void Loop() { m_mailbox.Loop(); }

 private:
  /// A thread and a cell.
  struct Link {
    Link(uint32_t thread, std::string cell, std::vector<std::string> controls)
        : m_thread(thread),
          m_cell(std::move(cell)),
          m_finder(std::move(controls)) {}

    uint32_t m_thread;
    std::string m_cell;
    ControllerFinder m_finder;

    /// One report beside the loop's is on its way; another one is wanted.
    bool m_extra = false;
    bool m_extra_wanted = false;
  };

  void StartLink(uint32_t thread, const std::string& cell);
  void RunLink(Link& link);
  void RunExtra(Link& link);
  bool Exchange(Link& link);
  void NoteServices(const AccessView& view);

  const EntrySettings& m_settings;
  EventLog& m_events;
  std::vector<std::unique_ptr<TrafficThread>>& m_threads;
  std::vector<std::string> m_controls;
  HttpClient m_client;
  Mailbox m_mailbox;
  std::map<std::pair<uint32_t, std::string>, std::unique_ptr<Link>> m_links;
  int m_running = 0;
  uint64_t m_config_version = 0;
  bool m_shutting_down = false;
  bool m_stopping = false;
};

}  // namespace foxtail
