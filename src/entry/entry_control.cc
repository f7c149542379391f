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

// Longer than a controller keeps a long poll pending.
constexpr milliseconds kSyncTimeout{350};
constexpr milliseconds kRetryDelay{20};

}  // namespace

EntryControl::EntryControl(const EntrySettings& settings,
                           EventLog& events,
                           std::vector<std::unique_ptr<TrafficThread>>& threads)
    : m_settings(settings),
      m_events(events),
      m_threads(threads),
      m_control_processes(ParseAddressList(settings.m_control)) {}

void EntryControl::Start() {
  for (uint32_t i = 0; i < m_threads.size(); ++i) {
    StartReporter(i, kAccessCell);
  }
}

void EntryControl::StartReporter(uint32_t thread, const std::string& cell) {
  auto& reporter = m_reporters[{thread, cell}];
  if (reporter) {
    return;
  }
  reporter = std::make_unique<Reporter>(thread, cell, m_control_processes);
  StartFiber([this, reporter = reporter.get()] { RunReportLoop(*reporter); });
}

void EntryControl::RunReportLoop(Reporter& reporter) {
  ++m_running_fibers;
  while (!m_stopping) {
    if (!SendReport(reporter) && reporter.m_finder.TakeBackoff()) {
      boost::this_fiber::sleep_for(kRetryDelay);
    }
  }
  --m_running_fibers;
}

void EntryControl::TriggerReport(uint32_t thread, const std::string& cell) {
  m_mailbox.Post([this, thread, cell] {
    const auto found = m_reporters.find({thread, cell});
    if (found == m_reporters.end() || m_stopping) {
      return;
    }
    Reporter& reporter = *found->second;
    if (reporter.m_extra_report_in_flight) {
      reporter.m_extra_report_requested = true;
      return;
    }
    reporter.m_extra_report_in_flight = true;
    StartFiber([this, &reporter] { RunExtraReports(reporter); });
  });
}

void EntryControl::RunExtraReports(Reporter& reporter) {
  ++m_running_fibers;
  do {
    reporter.m_extra_report_requested = false;
    SendReport(reporter);
  } while (reporter.m_extra_report_requested && !m_stopping);
  reporter.m_extra_report_in_flight = false;
  --m_running_fibers;
}

bool EntryControl::SendReport(Reporter& reporter) {
  TrafficThread& thread = *m_threads[reporter.m_thread];
  SyncRequest report = thread.BuildReport(reporter.m_cell);
  report.m_shutting_down = m_shutting_down;
  const HttpRequest http_request = BuildClusterRequest(
      "/sync", m_settings.m_cluster_secret, EncodeMessage(report));
  const TimePoint sent_at = Clock::now();
  SyncResponse response;
  try {
    const HttpResponse http_response =
        m_client.Call(ParseAddress(reporter.m_finder.GetCurrent()),
                      http_request, kSyncTimeout);
    DecodeMessage(http_response.m_body, response);
  } catch (const Error&) {
    thread.OnReportLost(report);
    reporter.m_finder.OnNoResponse(Clock::now());
    return false;
  }
  if (response.m_status != SyncStatus::kOk) {
    thread.OnReportLost(report);
    reporter.m_finder.OnNotController(response.m_controller, Clock::now());
    return false;
  }
  thread.Apply(report, response, sent_at);
  if (response.m_access) {
    ApplyAccessView(*response.m_access);
  }
  return true;
}

void EntryControl::ApplyAccessView(const AccessView& view) {
  for (const std::string& service : view.m_services) {
    for (uint32_t i = 0; i < m_threads.size(); ++i) {
      StartReporter(i, service);
    }
  }
  if (view.m_version > m_config_version) {
    m_config_version = view.m_version;
    m_events.Write(EventNumber::kConfigurationInForce,
                   {{"version", view.m_version}});
  }
}

void EntryControl::BeginShutdown() {
  m_shutting_down = true;
  for (const auto& [key, reporter] : m_reporters) {
    TriggerReport(key.first, key.second);
  }
}

void EntryControl::ReportAll() {
  size_t pending = m_reporters.size();
  for (auto& [key, reporter] : m_reporters) {
    StartFiber([this, &pending, reporter = reporter.get()] {
      SendReport(*reporter);
      --pending;
    });
  }
  while (pending > 0) {
    boost::this_fiber::sleep_for(kRetryDelay);
  }
}

void EntryControl::Stop() {
  m_stopping = true;
  while (m_running_fibers > 0) {
    boost::this_fiber::sleep_for(kRetryDelay);
  }
  m_mailbox.Close();
}

}  // namespace foxtail
