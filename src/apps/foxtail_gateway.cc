#include <map>
#include <vector>

#include "apps/program.h"
#include "core/event.h"
#include "gateway/control_thread.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_traffic_thread.h"
#include "platform/operator_rows_decoder.h"
#include "platform/platform_front_end.h"
#include "platform/platform_table_store.h"
#include "platform/server_control_client.h"
#include "runtime/address.h"
#include "runtime/process_resources.h"

namespace foxtail {
namespace {

// Without this check, a port of 0 or an address that is used twice would be
// detected only at the start, or not at all.
int CheckSettings(const GatewaySettings& settings) {
  ParseProcessorShare(settings);
  ParseSchedulingMode(settings);
  const std::vector<std::pair<std::string, std::string>> addresses = {
      {"listen", settings.m_listen},
      {"ready", settings.m_ready},
      {"internal", settings.m_internal},
      {"metrics", settings.m_metrics},
      {"store", settings.m_store}};
  std::string errors;
  std::map<std::string, std::string> flag_of_address;
  for (const auto& [flag, address] : addresses) {
    if (ParseAddress(address).m_port == 0) {
      errors += "--" + flag + " = '" + address + "': port 0; ";
    }
    const auto [other_flag, added] = flag_of_address.emplace(address, flag);
    if (!added) {
      errors += "--" + flag + " = '" + address + "': the address of --" +
                other_flag->second + "; ";
    }
  }
  if (!errors.empty()) {
    throw Error(ErrorCode::kSettingInvalid,
                errors + "allowed: different addresses with ports");
  }
  return kExitDone;
}

int Run(const GatewaySettings& settings) {
  ConfigureAllocator();
  EventLog events("gateway@" + settings.m_listen, settings.m_log_file);
  SetFiberExceptionHandler([&events](const std::exception& failure) {
    events.Write(EventNumber::kInternalFailure, {{"error", failure.what()}});
  });
  InstallFiberScheduler();
  const OperatorRowsDecoder decoder;
  const PlatformFrontEnd front_end;
  const Address store_address = ParseAddress(settings.m_store);
  GatewayTrafficThread traffic(settings, front_end, events);
  ControlThread control(
      settings, decoder,
      {[store_address] {
         return std::make_unique<PlatformTableStore>(store_address);
       },
       [] { return std::make_unique<ServerControlClient>(); }},
      traffic, events);
  traffic.Start(control);
  control.Start();
  events.Write(EventNumber::kProcessStarted, {{"address", settings.m_listen}});
  WaitForStopSignal(
      [&events] { events.Write(EventNumber::kSettingsKept, {}); });
  events.Write(EventNumber::kProcessStopping, {});
  control.BeginShutdown();
  const bool all_answered = traffic.Stop();
  events.Write(EventNumber::kProcessStopped, {});
  // Fibers of both threads may wait for the store or for timers for longer than
  // the platform waits for the process to end. These fibers have no work left,
  // so the process exits without waiting for them.
  std::quick_exit(all_answered ? kExitDone : kExitTimeout);
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunDaemon<foxtail::GatewaySettings>(
      argc, argv, environment,
      "takes clients' requests and forwards each to a server that may run it",
      "FOXTAIL_GATEWAY_", foxtail::GatewaySettingRows(),
      &foxtail::CheckSettings, &foxtail::Run);
}
