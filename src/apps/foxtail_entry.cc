#include <boost/fiber/operations.hpp>
#include <memory>

#include "apps/program.h"
#include "core/event.h"
#include "entry/entry_control.h"
#include "entry/entry_settings.h"
#include "entry/traffic_thread.h"
#include "runtime/address.h"
#include "runtime/address_list.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStopPollPeriod{10};

void RequireOneOf(const std::string& flag,
                  const std::string& value,
                  const std::string& first_allowed,
                  const std::string& second_allowed) {
  if (value != first_allowed && value != second_allowed) {
    throw Error(ErrorCode::kSettingInvalid, "--" + flag + " = '" + value +
                                                "'; allowed: " + first_allowed +
                                                ", " + second_allowed);
  }
}

int CheckSettings(const EntrySettings& settings) {
  ParseAddress(settings.m_listen);
  ParseAddress(settings.m_internal);
  ParseAddressList(settings.m_control);
  RequireOneOf("queue", settings.m_queue, "fair", "fifo");
  RequireOneOf("limit", settings.m_limit, "ramp", "fixed");
  RequireOneOf("share", settings.m_share, "demand", "fixed");
  return kExitDone;
}

using Threads = std::vector<std::unique_ptr<TrafficThread>>;

void ReleaseDispatchLeases(const EntrySettings& settings,
                           EntryControl& control,
                           Threads& threads) {
  control.BeginShutdown();
  const TimePoint until = Clock::now() + settings.m_stop_timeout;
  size_t unreleased = 1;
  while (unreleased > 0 && Clock::now() < until) {
    boost::this_fiber::sleep_for(kStopPollPeriod);
    unreleased = 0;
    for (auto& thread : threads) {
      unreleased += thread->CountUnreleased();
    }
  }
  // The controllers grant the leases to other dispatchers once they have
  // received the report that all are released.
  control.ReportAll();
}

// Graceful shutdown: the failing health check first makes the load balancer
// stop sending requests, then the dispatch leases pass to other dispatchers,
// and finally the last requests are answered.
bool StopGracefully(const EntrySettings& settings,
                    EntryControl& control,
                    Threads& threads) {
  for (auto& thread : threads) {
    thread->FailHealth();
  }
  boost::this_fiber::sleep_for(settings.m_stop_delay);
  ReleaseDispatchLeases(settings, control, threads);
  bool all_answered = true;
  control.Stop();
  for (auto& thread : threads) {
    all_answered = thread->Stop(settings.m_stop_timeout) && all_answered;
  }
  return all_answered;
}

int Run(const EntrySettings& settings) {
  EventLog events("entry@" + settings.m_listen, settings.m_log_file);
  SetFiberExceptionHandler([&events](const std::exception& failure) {
    events.Write(EventNumber::kInternalFailure, {{"error", failure.what()}});
  });
  InstallFiberScheduler();
  Threads threads;
  EntryControl control(settings, events, threads);
  for (uint32_t i = 0; i < settings.m_threads; ++i) {
    threads.push_back(std::make_unique<TrafficThread>(
        settings, i, events,
        [&control](uint32_t thread, const std::string& cell) {
          control.TriggerReport(thread, cell);
        }));
  }
  for (auto& thread : threads) {
    thread->Start();
  }
  StartFiber([&control] { control.Loop(); });
  control.Start();
  events.Write(EventNumber::kProcessStarted, {{"address", settings.m_listen}});
  WaitForStopSignal(
      [&events] { events.Write(EventNumber::kSettingsKept, {}); });
  events.Write(EventNumber::kProcessStopping, {});
  const bool all_answered = StopGracefully(settings, control, threads);
  events.Write(EventNumber::kProcessStopped, {});
  return all_answered ? kExitDone : kExitTimeout;
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunDaemon<foxtail::EntrySettings>(
      argc, argv, environment,
      "takes callers' requests and forwards each to the owner of its key",
      "FOXTAIL_ENTRY_", foxtail::EntrySettingRows(), &foxtail::CheckSettings,
      &foxtail::Run);
}
