#pragma once

#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "platform/platform_table_store.h"
#include "runtime/http_client.h"
#include "soak/soak_checks.h"
#include "support/process.h"

namespace foxtail {

/// Size and seed of a soak test.
struct SoakSettings {
  size_t m_gateways = 4;
  size_t m_servers = 6;
  uint32_t m_seed = 1;
};

/// Runs the real programs as processes, with the store and the backend servers
/// behind a loopback proxy, and injects faults from outside.
class SoakWorld {
 public:
  explicit SoakWorld(const SoakSettings& settings);
  ~SoakWorld();

  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  /// Injects one random fault determined by the seed. Faults may overlap; each
  /// is scheduled to be healed separately.
  void InjectFault();

  /// Heals the faults whose time is over and restarts gateways that ended.
  void HealDueFaults();

  /// Heals all faults and restarts what is down; graceful shutdowns in progress
  /// continue.
  void HealAll();

  Address GatewayAddress(size_t gateway) const;
  const SoakSettings& GetSettings() const { return m_settings; }
  std::string RecordFolder() const { return m_folder + "/records"; }
  std::string Folder() const { return m_folder; }
  const std::vector<SoakWithdrawal>& GetWithdrawals() const {
    return m_withdrawals;
  }

  /// Descriptions of graceful shutdowns that took too long and of processes
  /// that ended unexpectedly.
  const std::vector<std::string>& GetProcessFailures() const {
    return m_process_failures;
  }

  /// The injected faults, one a line, for the log of a failed seed.
  const std::string& GetHistory() const { return m_history; }

  /// Returns an API key that is valid now.
  std::string CurrentApiKey() const { return m_api_keys.back(); }

 private:
  using FaultFunction = void (SoakWorld::*)(size_t target, Duration time);

  struct FaultKind {
    const char* m_name;
    FaultFunction m_inject;
    bool m_on_server;
  };

  struct Healing {
    TimePoint m_at;
    std::function<void()> m_heal;

    /// The healing happens at `m_at` even on HealAll: a graceful shutdown gets
    /// its full time.
    bool m_fixed_time = false;
  };

  struct Gateway {
    std::unique_ptr<Process> m_process;
    uint16_t m_client_port = 0;
    std::vector<std::string> m_arguments;

    /// The process was paused since its start, so its shutdown may take longer.
    bool m_was_paused = false;
    bool m_shutting_down = false;

    /// The soak test killed the process and restarts it.
    bool m_killed = false;
    TimePoint m_started_at;
  };

  struct Server {
    std::unique_ptr<Process> m_process;
    uint16_t m_port = 0;
    uint16_t m_link_port = 0;
    int64_t m_incarnation = 1;
    bool m_draining = false;
  };

  void StartGateway(size_t gateway);
  void RestartEndedGateways();
  void StartServer(size_t server);
  void RegisterServer(size_t server);
  void WriteConfiguration();
  void WriteStoreRow(const std::string& table,
                     const std::string& key,
                     const std::optional<std::string>& value);
  void SetLink(size_t link, const std::string& fault, int delay_ms = 0);
  void HealLater(Duration time,
                 std::function<void()> heal,
                 bool fixed_time = false);
  size_t RandomBelow(size_t limit);

  void KillGateway(size_t gateway, Duration time);
  void PauseGateway(size_t gateway, Duration time);
  void ShutDownGateway(size_t gateway, Duration time);
  void SendHangUp(size_t gateway, Duration time);
  void CutStoreLink(size_t gateway, Duration time);
  void FreezeStoreLink(size_t gateway, Duration time);
  void LoseStoreResponses(size_t gateway, Duration time);
  void SlowStoreLink(size_t gateway, Duration time);
  void StoreOutage(size_t gateway, Duration time);
  void KillServer(size_t server, Duration time);
  void PauseServer(size_t server, Duration time);
  void CutServerLink(size_t server, Duration time);
  void FreezeServerLink(size_t server, Duration time);
  void LoseServerResponses(size_t server, Duration time);
  void DrainServer(size_t server, Duration time);
  void ChangeConfiguration(size_t gateway, Duration time);
  void WithdrawApiKey(size_t gateway, Duration time);
  void Evacuate(size_t server, Duration time);

  static std::span<const FaultKind> FaultKinds();

  SoakSettings m_settings;
  std::minstd_rand m_random;
  std::string m_folder;
  uint16_t m_store_port;
  uint16_t m_proxy_port;
  std::unique_ptr<Process> m_platform;
  std::unique_ptr<Process> m_proxy;
  std::vector<Gateway> m_gateways;
  std::vector<Server> m_servers;
  PlatformTableStore m_store;
  HttpClient m_client;
  std::vector<Healing> m_healings;
  uint64_t m_version = 0;
  std::vector<std::string> m_api_keys = {"key-0"};
  std::vector<SoakWithdrawal> m_withdrawals;
  std::vector<std::string> m_process_failures;
  std::string m_history;
};

}  // namespace foxtail
