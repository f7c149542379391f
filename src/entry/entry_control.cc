#include "entry/entry_control.h"

#include <boost/fiber/operations.hpp>

#include "control/control_tables.h"
#include "core/error.h"
#include "messages/codec.h"
#include "runtime/address_list.h"
#include "runtime/cluster_request.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Longer than a controller holds a request for news.
constexpr milliseconds kSyncTimeout{350};
constexpr milliseconds kRetryPause{20};

}  // namespace

EntryControl::EntryControl(const EntrySettings& settings,
                           EventLog& events,
                           std::vector<std::unique_ptr<TrafficThread>>& threads)
    : m_settings(settings),
      m_events(events),
      m_threads(threads),
      m_controls(ParseAddressList(settings.m_control)) {}

void EntryControl::Start() {
  for (uint32_t i = 0; i < m_threads.size(); ++i) {
    StartLink(i, kAccessCell);
  }
}

void EntryControl::StartLink(uint32_t thread, const std::string& cell) {
  auto& link = m_links[{thread, cell}];
  if (link) {
    return;
  }
  link = std::make_unique<Link>(thread, cell, m_controls);
  StartFiber([this, link = link.get()] { RunLink(*link); });
}

void EntryControl::RunLink(Link& link) {
  ++m_running;
  while (!m_stopping) {
    if (!Exchange(link) && link.m_finder.TakePause()) {
      boost::this_fiber::sleep_for(kRetryPause);
    }
  }
  --m_running;
}

void EntryControl::Kick(uint32_t thread, const std::string& cell) {
  m_mailbox.Post([this, thread, cell] {
    const auto found = m_links.find({thread, cell});
    if (found == m_links.end() || m_stopping) {
      return;
    }
    Link& link = *found->second;
    if (link.m_extra) {
      link.m_extra_wanted = true;
      return;
    }
    link.m_extra = true;
    StartFiber([this, &link] { RunExtra(link); });
  });
}

void EntryControl::RunExtra(Link& link) {
  ++m_running;
  do {
    link.m_extra_wanted = false;
    Exchange(link);
  } while (link.m_extra_wanted && !m_stopping);
  link.m_extra = false;
  --m_running;
}

bool EntryControl::Exchange(Link& link) {
  TrafficThread& thread = *m_threads[link.m_thread];
  SyncRequest report = thread.BuildReport(link.m_cell);
  report.m_leaving = m_leaving;
  const HttpRequest call = BuildClusterRequest(
      "/sync", m_settings.m_cluster_secret, EncodeMessage(report));
  const TimePoint sent = Clock::now();
  SyncResponse response;
  try {
    const HttpResponse answer = m_client.Call(
        ParseAddress(link.m_finder.GetCurrent()), call, kSyncTimeout);
    DecodeMessage(answer.m_body, response);
  } catch (const Error&) {
    thread.OnReportLost(report);
    link.m_finder.OnNoAnswer(Clock::now());
    return false;
  }
  if (response.m_status != SyncStatus::kOk) {
    thread.OnReportLost(report);
    link.m_finder.OnNotController(response.m_controller, Clock::now());
    return false;
  }
  thread.Apply(report, response, sent);
  if (response.m_access) {
    NoteServices(*response.m_access);
  }
  return true;
}

void EntryControl::NoteServices(const AccessView& view) {
  for (const std::string& service : view.m_services) {
    for (uint32_t i = 0; i < m_threads.size(); ++i) {
      StartLink(i, service);
    }
  }
  if (view.m_version > m_config_version) {
    m_config_version = view.m_version;
    m_events.Write(EventNumber::kConfigurationInForce,
                   {{"version", view.m_version}});
  }
}

void EntryControl::Leave() {
  m_leaving = true;
  for (const auto& [key, link] : m_links) {
    Kick(key.first, key.second);
  }
}

void EntryControl::ReportAll() {
  size_t pending = m_links.size();
  for (auto& [key, link] : m_links) {
    StartFiber([this, &pending, link = link.get()] {
      Exchange(*link);
      --pending;
    });
  }
  while (pending > 0) {
    boost::this_fiber::sleep_for(kRetryPause);
  }
}

void EntryControl::Stop() {
  m_stopping = true;
  while (m_running > 0) {
    boost::this_fiber::sleep_for(kRetryPause);
  }
  m_mailbox.Close();
}

}  // namespace foxtail
