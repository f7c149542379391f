#include "soak/soak_world.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <filesystem>

#include "core/digest.h"
#include "support/cluster.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The platform kills a process that has not ended within this time after
// SIGTERM (`grace_s`).
constexpr seconds kStopTimeout{6};

constexpr milliseconds kMinFaultDuration{200};
constexpr int kFaultDurationSpread = 2500;  // milliseconds
constexpr milliseconds kWriteRetryDelay{20};

// A process that ends within this time after its start may not have reached its
// signal handling yet.
constexpr seconds kMinUptime{1};

Address LoopbackAddress(uint16_t port) {
  return {"127.0.0.1", port};
}

std::string ServerId(size_t server) {
  return "i-" + std::to_string(server);
}

std::string DataCentreName(size_t number) {
  return "dc-" + std::to_string(number % 2);
}

}  // namespace

std::span<const SoakWorld::FaultKind> SoakWorld::FaultKinds() {
  static constexpr FaultKind kKinds[] = {
      {"kill gateway", &SoakWorld::KillGateway, false},
      {"pause gateway", &SoakWorld::PauseGateway, false},
      {"stop gateway", &SoakWorld::ShutDownGateway, false},
      {"hang up gateway", &SoakWorld::SendHangUp, false},
      {"cut store link", &SoakWorld::CutStoreLink, false},
      {"freeze store link", &SoakWorld::FreezeStoreLink, false},
      {"lose store answers", &SoakWorld::LoseStoreResponses, false},
      {"slow store link", &SoakWorld::SlowStoreLink, false},
      {"store outage", &SoakWorld::StoreOutage, false},
      {"kill server", &SoakWorld::KillServer, true},
      {"pause server", &SoakWorld::PauseServer, true},
      {"cut server link", &SoakWorld::CutServerLink, true},
      {"freeze server link", &SoakWorld::FreezeServerLink, true},
      {"lose server answers", &SoakWorld::LoseServerResponses, true},
      {"drain server", &SoakWorld::DrainServer, true},
      {"change configuration", &SoakWorld::ChangeConfiguration, false},
      {"withdraw API key", &SoakWorld::WithdrawApiKey, false},
      {"evacuate", &SoakWorld::Evacuate, true},
  };
  return kKinds;
}

SoakWorld::SoakWorld(const SoakSettings& settings)
    : m_settings(settings),
      m_random(settings.m_seed),
      m_folder((std::filesystem::temp_directory_path() /
                ("foxtail-soak-" + RandomToken()))
                   .string()),
      m_store_port(NextPort()),
      m_proxy_port(NextPort()),
      m_gateways(settings.m_gateways),
      m_servers(settings.m_servers),
      m_store(LoopbackAddress(m_store_port)) {
  std::filesystem::create_directories(RecordFolder());
  m_platform = std::make_unique<Process>(
      "standin-platform",
      std::vector<std::string>{"--listen",
                               LoopbackAddress(m_store_port).ToString()},
      m_folder + "/platform.log");
  std::string links;
  for (size_t i = 0; i < m_gateways.size(); ++i) {
    const Address link = LoopbackAddress(NextPort());
    links += fmt::format("{}={},", link.ToString(),
                         LoopbackAddress(m_store_port).ToString());
    m_gateways[i].m_client_port = NextPort();
    m_gateways[i].m_arguments = {
        "--listen",
        LoopbackAddress(m_gateways[i].m_client_port).ToString(),
        "--ready",
        LoopbackAddress(NextPort()).ToString(),
        "--internal",
        LoopbackAddress(NextPort()).ToString(),
        "--metrics",
        LoopbackAddress(NextPort()).ToString(),
        "--store",
        link.ToString(),
        "--data-centre",
        DataCentreName(i),
        "--stop-delay",
        "1000"};
  }
  for (Server& server : m_servers) {
    server.m_port = NextPort();
    server.m_link_port = NextPort();
    links +=
        fmt::format("{}={},", LoopbackAddress(server.m_link_port).ToString(),
                    LoopbackAddress(server.m_port).ToString());
  }
  links.pop_back();
  m_proxy = std::make_unique<Process>(
      "standin-proxy",
      std::vector<std::string>{"--listen",
                               LoopbackAddress(m_proxy_port).ToString(),
                               "--links", links},
      m_folder + "/proxy.log");
  WriteConfiguration();
  for (size_t i = 0; i < m_servers.size(); ++i) {
    StartServer(i);
  }
  for (size_t i = 0; i < m_gateways.size(); ++i) {
    StartGateway(i);
  }
}

SoakWorld::~SoakWorld() {
  m_gateways.clear();
  m_servers.clear();
  if (std::getenv("FOXTAIL_TEST_KEEP") == nullptr) {
    std::filesystem::remove_all(m_folder);
  }
}

Address SoakWorld::GatewayAddress(size_t gateway) const {
  return LoopbackAddress(m_gateways[gateway].m_client_port);
}

size_t SoakWorld::RandomBelow(size_t limit) {
  return m_random() % limit;
}

void SoakWorld::StartGateway(size_t gateway) {
  Gateway& row = m_gateways[gateway];
  row.m_process = std::make_unique<Process>(
      "foxtail-gateway", row.m_arguments,
      fmt::format("{}/gateway-{}.log", m_folder, gateway));
  row.m_was_paused = false;
  row.m_shutting_down = false;
  row.m_killed = false;
  row.m_started_at = Clock::now();
}

// Restarts gateways as the platform does. A SIGHUP that arrives before the
// program has begun ends the process, which no program can prevent; such an end
// is not a failure.
void SoakWorld::RestartEndedGateways() {
  for (size_t i = 0; i < m_gateways.size(); ++i) {
    const Gateway& row = m_gateways[i];
    if (row.m_killed || row.m_shutting_down || row.m_process->IsRunning()) {
      continue;
    }
    if (Clock::now() - row.m_started_at > kMinUptime) {
      m_process_failures.push_back(
          fmt::format("gateway {} ended by itself", i));
    }
    StartGateway(i);
  }
}

void SoakWorld::StartServer(size_t server) {
  Server& row = m_servers[server];
  ++row.m_incarnation;
  row.m_process = std::make_unique<Process>(
      "soak-server",
      std::vector<std::string>{
          LoopbackAddress(row.m_port).ToString(), ServerId(server),
          fmt::format("{}/{}-{}", RecordFolder(), server, row.m_incarnation)},
      fmt::format("{}/server-{}.log", m_folder, server));
  RegisterServer(server);
}

void SoakWorld::RegisterServer(size_t server) {
  const Server& row = m_servers[server];
  const bool sharded = server + 2 < m_servers.size();
  WriteStoreRow(
      "servers", ServerId(server),
      fmt::format(R"({{"address":"{}","born":{},"info":{{"service":"{}",)"
                  R"("version":"v1","zone":"{}","slots":4}},)"
                  R"("status":{{"state":"{}","sequence":1,)"
                  R"("warmup_left_s":0}}}})",
                  LoopbackAddress(row.m_link_port).ToString(),
                  row.m_incarnation, sharded ? "keyed" : "open",
                  DataCentreName(server),
                  row.m_draining ? "draining" : "ready"));
}

void SoakWorld::WriteConfiguration() {
  std::string keys;
  for (const std::string& key : m_api_keys) {
    keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
  }
  const auto route = [](const char* name, const char* type,
                        const char* service) {
    return fmt::format(
        R"({{"name":"{0}","host":"a.example","prefix":"/{0}/",)"
        R"("route_type":"{1}","timeout_s":1,"target_latency_s":0.4,)"
        R"("priority":1,"service":"{2}","max_attempts":2}})",
        name, type, service);
  };
  WriteStoreRow(
      "op", "config",
      fmt::format(
          R"({{"version":"{:08x}","routes":[{},{},{}],"services":[)"
          R"({{"name":"keyed","max_conns":120,"sharded":true}},)"
          R"({{"name":"open","max_conns":120}}],"tenants":[{{"name":"w",)"
          R"("api_keys":[{}],"rate_per_s":0,"burst":0}}]}})",
          ++m_version, route("look", "safe", "keyed"),
          route("order", "unsafe", "keyed"), route("pay", "unsafe", "open"),
          keys));
}

// Operators reach the store directly, without injected faults.
void SoakWorld::WriteStoreRow(const std::string& table,
                              const std::string& key,
                              const std::optional<std::string>& value) {
  while (true) {
    const RowsResult row = m_store.Read(table, key, seconds(1));
    const uint64_t version =
        row.m_rows.empty() ? 0 : row.m_rows.front().m_version;
    if (row.m_outcome == StoreOutcome::kDone &&
        ((version == 0 && !value) ||
         m_store.Write({table, key, version, value}, seconds(1)).m_outcome ==
             StoreOutcome::kDone)) {
      return;
    }
    boost::this_fiber::sleep_for(kWriteRetryDelay);
  }
}

void SoakWorld::SetLink(size_t link, const std::string& fault, int delay_ms) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/links/" + std::to_string(link);
  request.m_body =
      fmt::format(R"({{"fault":"{}","delay_ms":{}}})", fault, delay_ms);
  m_client.Call(LoopbackAddress(m_proxy_port), request, seconds(2));
}

void SoakWorld::HealLater(Duration time,
                          std::function<void()> heal,
                          bool fixed_time) {
  m_healings.push_back({Clock::now() + time, std::move(heal), fixed_time});
}

void SoakWorld::HealDueFaults() {
  RestartEndedGateways();
  for (size_t i = 0; i < m_healings.size();) {
    if (Clock::now() < m_healings[i].m_at) {
      ++i;
      continue;
    }
    const auto heal = std::move(m_healings[i].m_heal);
    m_healings.erase(m_healings.begin() + static_cast<std::ptrdiff_t>(i));
    heal();
  }
}

void SoakWorld::HealAll() {
  for (Healing& healing : m_healings) {
    healing.m_at = healing.m_fixed_time ? healing.m_at : TimePoint();
  }
  HealDueFaults();
}

void SoakWorld::InjectFault() {
  const FaultKind& kind = FaultKinds()[RandomBelow(FaultKinds().size())];
  const size_t target =
      RandomBelow(kind.m_on_server ? m_servers.size() : m_gateways.size());
  const Duration time =
      kMinFaultDuration + milliseconds(RandomBelow(kFaultDurationSpread));
  m_history += fmt::format("{} {} for {} ms\n", kind.m_name, target,
                           ToSeconds(time) * 1000);
  (this->*kind.m_inject)(target, time);
}

void SoakWorld::KillGateway(size_t gateway, Duration time) {
  m_gateways[gateway].m_process->Kill();
  m_gateways[gateway].m_killed = true;
  HealLater(time, [this, gateway] {
    if (!m_gateways[gateway].m_process->IsRunning()) {
      StartGateway(gateway);
    }
  });
}

void SoakWorld::PauseGateway(size_t gateway, Duration time) {
  if (m_gateways[gateway].m_shutting_down) {
    return;
  }
  m_gateways[gateway].m_was_paused = true;
  m_gateways[gateway].m_process->Signal(SIGSTOP);
  HealLater(time, [this, gateway] {
    m_gateways[gateway].m_process->Signal(SIGCONT);
  });
}

void SoakWorld::ShutDownGateway(size_t gateway, Duration time) {
  Gateway& row = m_gateways[gateway];
  if (!row.m_process->IsRunning() || row.m_was_paused || row.m_shutting_down) {
    return;
  }
  row.m_shutting_down = true;
  row.m_process->Signal(SIGTERM);
  const auto restart = [this, gateway, started_at = row.m_started_at] {
    Gateway& stopped = m_gateways[gateway];
    if (stopped.m_started_at != started_at) {
      return;  // killed meanwhile and replaced
    }
    if (stopped.m_shutting_down && stopped.m_process->IsRunning()) {
      m_process_failures.push_back(
          fmt::format("gateway {} did not end", gateway));
      stopped.m_process->Kill();
    } else if (stopped.m_shutting_down && !stopped.m_killed &&
               stopped.m_process->Wait() < 0) {
      m_process_failures.push_back(
          fmt::format("a signal ended gateway {} while it stopped", gateway));
    }
    if (!stopped.m_process->IsRunning()) {
      StartGateway(gateway);
    }
  };
  HealLater(std::max<Duration>(time, kStopTimeout), restart, true);
}

void SoakWorld::SendHangUp(size_t gateway, Duration) {
  m_gateways[gateway].m_process->Signal(SIGHUP);
}

void SoakWorld::CutStoreLink(size_t gateway, Duration time) {
  SetLink(gateway, "cut");
  HealLater(time, [this, gateway] { SetLink(gateway, "none"); });
}

void SoakWorld::FreezeStoreLink(size_t gateway, Duration time) {
  SetLink(gateway, "freeze");
  HealLater(time, [this, gateway] { SetLink(gateway, "none"); });
}

void SoakWorld::LoseStoreResponses(size_t gateway, Duration time) {
  SetLink(gateway, "lose_answers");
  HealLater(time, [this, gateway] { SetLink(gateway, "none"); });
}

void SoakWorld::SlowStoreLink(size_t gateway, Duration time) {
  SetLink(gateway, "none", 150);
  HealLater(time, [this, gateway] { SetLink(gateway, "none"); });
}

void SoakWorld::StoreOutage(size_t, Duration time) {
  for (size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
    CutStoreLink(gateway, time);
  }
}

void SoakWorld::KillServer(size_t server, Duration time) {
  m_servers[server].m_process->Kill();
  HealLater(time, [this, server] {
    if (!m_servers[server].m_process->IsRunning()) {
      StartServer(server);
    }
  });
}

void SoakWorld::PauseServer(size_t server, Duration time) {
  m_servers[server].m_process->Signal(SIGSTOP);
  HealLater(time,
            [this, server] { m_servers[server].m_process->Signal(SIGCONT); });
}

void SoakWorld::CutServerLink(size_t server, Duration time) {
  const size_t link = m_gateways.size() + server;
  SetLink(link, "cut");
  HealLater(time, [this, link] { SetLink(link, "none"); });
}

void SoakWorld::FreezeServerLink(size_t server, Duration time) {
  const size_t link = m_gateways.size() + server;
  SetLink(link, "freeze");
  HealLater(time, [this, link] { SetLink(link, "none"); });
}

void SoakWorld::LoseServerResponses(size_t server, Duration time) {
  const size_t link = m_gateways.size() + server;
  SetLink(link, "lose_answers");
  HealLater(time, [this, link] { SetLink(link, "none"); });
}

void SoakWorld::DrainServer(size_t server, Duration time) {
  m_servers[server].m_draining = true;
  RegisterServer(server);
  HealLater(time, [this, server] {
    m_servers[server].m_draining = false;
    RegisterServer(server);
  });
}

void SoakWorld::ChangeConfiguration(size_t, Duration) {
  WriteConfiguration();
}

void SoakWorld::WithdrawApiKey(size_t, Duration) {
  const std::string withdrawn = m_api_keys.front();
  m_api_keys.push_back("key-" + std::to_string(m_version));
  WriteConfiguration();
  if (m_api_keys.size() > 2) {
    m_api_keys.erase(m_api_keys.begin());
    WriteConfiguration();
    m_withdrawals.push_back({withdrawn, Clock::now()});
  }
}

void SoakWorld::Evacuate(size_t server, Duration time) {
  const std::string row = "evacuate/" + DataCentreName(server);
  WriteStoreRow("op", row, "{}");
  HealLater(time, [this, row] { WriteStoreRow("op", row, std::nullopt); });
}

}  // namespace foxtail
