#include <boost/fiber/operations.hpp>

#include "apps/program.h"
#include "core/digest.h"
#include "core/event.h"
#include "daemon/control_loop.h"
#include "daemon/control_rpc.h"
#include "daemon/control_rpc_client.h"
#include "daemon/daemon_settings.h"
#include "daemon/operator_service.h"
#include "messages/codec.h"
#include "platform/platform_table_store.h"
#include "runtime/address_list.h"
#include "runtime/cluster_request.h"
#include "runtime/http_server.h"
#include "store/table_record_repository.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHelloPeriod{500};
constexpr milliseconds kHelloTimeout{300};
constexpr double kMinLeaseTakeFactor = 1.05;
constexpr size_t kControlBodyLimit = 16 * 1024 * 1024;  // bytes

int CheckSettings(const DaemonSettings& settings) {
  ParseAddress(settings.m_listen);
  ParseAddress(settings.m_platform);
  ParseAddressList(settings.m_peers);
  if (settings.m_placement != "bounded" &&
      settings.m_placement != "rendezvous") {
    throw Error(ErrorCode::kSettingInvalid,
                "--placement = '" + settings.m_placement +
                    "'; allowed: bounded, rendezvous");
  }
  const auto min_lease_take = settings.m_lease_ttl * kMinLeaseTakeFactor;
  if (settings.m_takeover_delay < min_lease_take) {
    throw Error(ErrorCode::kSettingInvalid,
                "--lease-take = '" +
                    std::to_string(settings.m_takeover_delay.count()) +
                    "'; allowed: at least 5% more than --lease-hold");
  }
  return kExitDone;
}

HttpResponse BinaryResponse(std::string body) {
  HttpResponse response;
  response.m_headers.Set("content-type", "application/octet-stream");
  response.m_body = std::move(body);
  return response;
}

// The HTTP front end of a control process, which only decodes requests and
// encodes responses.
class ControlFrontEnd {
 public:
  ControlFrontEnd(const DaemonSettings& settings,
                  ControlLoop& loop,
                  OperatorService& operators)
      : m_settings(settings),
        m_loop(loop),
        m_rpc(m_connector, loop, operators) {}

  HttpResponse Handle(HttpRequest& request) {
    if (request.m_method == "GET") {
      return HandleGet(request);
    }
    RequireClusterSecret(request, m_settings.m_cluster_secret);
    if (request.m_target == "/sync") {
      SyncRequest message;
      DecodeMessage(std::string(request.m_body.View()), message);
      return BinaryResponse(
          EncodeMessage(m_loop.HandleSync(std::move(message))));
    }
    if (request.m_target == "/tokens") {
      TokenRequest message;
      DecodeMessage(std::string(request.m_body.View()), message);
      return BinaryResponse(
          EncodeMessage(m_loop.HandleTokenRequest(std::move(message))));
    }
    if (request.m_target == "/rpc") {
      HttpResponse response;
      response.m_headers.Set("content-type", "application/json");
      response.m_body = m_connector.Handle(std::string(request.m_body.View()));
      return response;
    }
    throw Error(ErrorCode::kRouteUnknown, request.m_target);
  }

 private:
  HttpResponse HandleGet(const HttpRequest& request) const {
    HttpResponse response;
    if (request.m_target == "/health") {
      response.m_body = "ready\n";
      return response;
    }
    if (request.m_target == "/metrics") {
      const double longest = ToSeconds(m_loop.GetLongestTick());
      response.m_body =
          "# TYPE foxtail_control_ticks_total counter\n"
          "foxtail_control_ticks_total " +
          std::to_string(m_loop.GetTickCount()) +
          "\n# TYPE foxtail_control_longest_tick_seconds gauge\n"
          "foxtail_control_longest_tick_seconds " +
          std::to_string(longest) + "\n";
      return response;
    }
    throw Error(ErrorCode::kRouteUnknown, request.m_target);
  }

  const DaemonSettings& m_settings;
  ControlLoop& m_loop;
  RpcConnector m_connector;
  ControlRpc m_rpc;
};

// Sends a hello call to every other control process each `kHelloPeriod`, so
// that each process knows which others are available as standbys.
void StartPeerHellos(const DaemonSettings& settings,
                     ControlLoop& loop,
                     const bool& stopping) {
  static HttpClient client;
  const ControlRpcClient rpc(client, settings.m_cluster_secret, kHelloTimeout);
  for (const std::string& address : ParseAddressList(settings.m_peers)) {
    if (address == settings.m_listen) {
      continue;
    }
    StartFiber([&, rpc, address] {
      while (!stopping) {
        try {
          const PeerResponse peer = rpc.Hello(address);
          loop.RecordPeer(peer.m_peer, peer.m_data_centre);
        } catch (const Error&) {
          // The control loop forgets a peer that has not responded for a while.
        }
        boost::this_fiber::sleep_for(kHelloPeriod);
      }
    });
  }
}

int Run(const DaemonSettings& settings) {
  EventLog events("control@" + settings.m_listen, settings.m_log_file);
  SetFiberExceptionHandler([&events](const std::exception& failure) {
    events.Write(EventNumber::kInternalFailure, {{"error", failure.what()}});
  });
  InstallFiberScheduler();
  PlatformTableStore rows(ParseAddress(settings.m_platform));
  TableRecordRepository store(rows, settings.m_platform_timeout);
  ControlLoop loop(settings, {RandomToken(), settings.m_listen}, store, events);
  OperatorService operators(loop, store, events);
  ControlFrontEnd front_end(settings, loop, operators);
  HttpServerSettings server_settings;
  server_settings.m_body_limit = kControlBodyLimit;
  HttpServer server(
      ParseAddress(settings.m_listen), server_settings,
      [&front_end](HttpRequest& request) { return front_end.Handle(request); });
  server.Start();
  bool stopping = false;
  StartPeerHellos(settings, loop, stopping);
  events.Write(EventNumber::kProcessStarted, {{"address", settings.m_listen}});
  StartFiber([&] {
    WaitForStopSignal(
        [&events] { events.Write(EventNumber::kSettingsKept, {}); });
    events.Write(EventNumber::kProcessStopping, {});
    stopping = true;
    loop.BeginShutdown();
  });
  loop.Run();
  events.Write(EventNumber::kProcessStopped, {});
  // Exiting closes the connections of pending long polls; their clients then
  // poll another control process.
  std::_Exit(kExitDone);
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunDaemon<foxtail::DaemonSettings>(
      argc, argv, environment,
      "controls cells: plans, owners, leases, grants and tokens",
      "FOXTAIL_CONTROL_", foxtail::DaemonSettingRows(), &foxtail::CheckSettings,
      &foxtail::Run);
}
