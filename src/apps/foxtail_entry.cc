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

void RequireWord(const std::string& flag,
                 const std::string& value,
                 const std::string& one,
                 const std::string& other) {
  if (value != one && value != other) {
    throw Error(
        ErrorCode::kSettingInvalid,
        "--" + flag + " = '" + value + "'; allowed: " + one + ", " + other);
  }
}

int CheckSettings(const EntrySettings& settings) {
  ParseAddress(settings.m_listen);
  ParseAddress(settings.m_internal);
  ParseAddressList(settings.m_control);
  RequireWord("queue", settings.m_queue, "fair", "fifo");
  RequireWord("limit", settings.m_limit, "ramp", "fixed");
  RequireWord("share", settings.m_share, "demand", "fixed");
  return kExitDone;
}

using Threads = std::vector<std::unique_ptr<TrafficThread>>;

void LetGoOfLeases(const EntrySettings& settings,
                   EntryControl& control,
                   Threads& threads) {
  control.BeginShutdown();
  const TimePoint until = Clock::now() + settings.m_stop_timeout;
  size_t held = 1;
  while (held > 0 && Clock::now() < until) {
    boost::this_fiber::sleep_for(kStopPollPeriod);
    held = 0;
    for (auto& thread : threads) {
      held += thread->CountUnreleased();
    }
  }
  // The controllers give the leases on once they know that all is let go.
  control.ReportAll();
}

// A planned stop: the balancer looks away first, then the dispatch leases go to
// others, then the last requests are answered.
bool StopGracefully(const EntrySettings& settings,
                    EntryControl& control,
                    Threads& threads) {
  for (auto& thread : threads) {
    thread->FailHealth();
  }
  boost::this_fiber::sleep_for(settings.m_stop_delay);
  LetGoOfLeases(settings, control, threads);
  bool clean = true;
  control.Stop();
  for (auto& thread : threads) {
    clean = thread->Stop(settings.m_stop_timeout) && clean;
  }
  return clean;
}

int Run(const EntrySettings& settings) {
  EventLog events("entry@" + settings.m_listen, settings.m_log_file);
  SetFiberFailureHandler([&events](const std::exception& failure) {
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
  const bool clean = StopGracefully(settings, control, threads);
  events.Write(EventNumber::kProcessStopped, {});
  return clean ? kExitDone : kExitTimeout;
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunProgram<foxtail::EntrySettings>(
      argc, argv, environment,
      "takes callers' requests and forwards each to the owner of its key",
      "FOXTAIL_ENTRY_", foxtail::EntrySettingRows(), &foxtail::CheckSettings,
      &foxtail::Run);
}
