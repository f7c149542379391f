#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/directory_system.h"
#include "gateway/gateway_tables.h"
#include "gateway/report_schedule.h"
#include "support/fake_clients.h"
#include "support/fake_rollout_traffic.h"

namespace foxtail {

/// Decodes fake rows of operators and servers, whose fields are separated by
/// spaces. A server's service may stand last.
class FakeDirectoryDecoder : public DirectoryDecoder {
 public:
  std::string OperatorTable() const override { return "operators"; }
  std::string ServerTable() const override { return "servers"; }
  OperatorRowKind ClassifyRow(const std::string& key,
                              std::string& subject) const override;
  RoutingConfig DecodeConfiguration(const std::string& value) const override;
  BackendServerEntry DecodeServer(const std::string& key,
                                  const std::string& value) const override;
  RolloutOrder DecodeRollout(const std::string& service,
                             const std::string& value) const override;
  RowWrite EncodeRolloutStatus(const RolloutRecord& record) const override;
};

/// The workspace that the fakes' configuration contains.
inline constexpr const char* kWorkspace = "club";

/// Requests a second that a cold server of the fakes' service takes.
inline constexpr double kColdRate = 4.9;

/// Services of the fakes' configuration, with and without shard keys.
inline constexpr const char* kShardedService = "catalogue";
inline constexpr const char* kUnshardedService = "ledger";

/// Number of sampled keys, evenly spaced, for which the fakes track grants.
inline constexpr uint32_t kSampledKeys = 64;

/// Fake of a backend server that enforces its grants.
struct FakeServer {
  std::string m_id;
  std::string m_data_centre;
  std::string m_service = kShardedService;
  std::string m_software_version;
  bool m_up = true;
  bool m_draining = false;
  int64_t m_incarnation = 1;

  /// The server has ended, and another one has its address.
  bool m_replaced = false;

  /// Hosts that cannot reach this server.
  std::set<size_t> m_unreachable_from;

  struct Grant {
    uint64_t m_fence = 0;
    uint64_t m_highest_fence = 0;
    TimePoint m_until;
  };
  std::array<Grant, kSampledKeys> m_grants{};

  bool HasGrant(uint32_t sample, TimePoint now) const {
    return m_up && now < m_grants[sample].m_until;
  }
};

/// Fake of one gateway host: runs the real control systems without input or
/// output.
struct FakeHost {
  GatewayTables m_tables;
  bool m_up = true;
  double m_processor_share = 1;

  /// The host gets no response from the store and doesn't change any row.
  bool m_store_unreachable = false;

  /// Beside that, the host is not told so: its reads of the store hang.
  bool m_store_silent = false;

  /// Datagrams to and from the other hosts are lost.
  bool m_isolated = false;
  uint64_t m_incarnation = 0;

  /// When the open watch of each table was sent; unset if there is none.
  std::array<std::optional<BootTime>, kWatchedKinds> m_watches;

  /// Version of the newest configuration that the process has had.
  uint64_t m_configuration = 0;

  /// Datagrams to and from this host take this much longer.
  Duration m_datagram_delay{};

  /// The host is slow: it sends calls to servers this long after it has decided
  /// on them.
  Duration m_call_delay{};

  /// Loads that the host's reports contain.
  std::vector<ServiceLoad> m_loads;

  /// Clients of workspace `kWorkspace`; new for each process.
  std::unique_ptr<FakeClients> m_clients;
  std::unique_ptr<ReportSchedule> m_report_schedule;

  /// Request path of the host; new for each process.
  std::unique_ptr<FakeRolloutHost> m_rollout_host;
};

/// Simulates several hosts, servers and the store on a simulated clock, in
/// steps of 10 ms. Checks in each step that no sampled key is granted to two
/// servers.
class GatewayWorld {
 public:
  GatewayWorld(size_t hosts, size_t servers, uint32_t seed = 1);

  /// Advances the simulation by `duration`. Failed checks are counted in
  /// `m_double_grants`.
  void Run(Duration duration);

  /// Ends a host's process. `Start` starts a new one at the same address.
  void Kill(size_t host);
  void Start(size_t host);

  /// Writes a server's registration with its current fields.
  void RegisterServer(size_t server);

  /// Starts a server again at its address, under another id.
  void RestartServer(size_t server, const std::string& id);
  void DeregisterServer(size_t server);
  void SetEvacuated(const std::string& data_centre, bool evacuated);

  /// Writes a configuration with the workspace's rate, in requests per second;
  /// 0 means no limit. The burst is one second of the rate.
  void SetWorkspaceRate(double rate);

  /// Sets the rate of the clients' requests at a host, per second.
  void SetClientRate(size_t host, double rate);

  /// Takes a copy of the store. The store comes back from the last copy in the
  /// next era; versions are given out again from the copy's on.
  void TakeCopy();
  void RestoreCopy();

  /// Operators and servers write their rows as they are now.
  void WriteRowsAgain();

  /// Writes an order of a rollout, or removes it, and returns what the gateways
  /// report of it: "running VERSION", for example.
  void OrderRollout(const std::string& service,
                    const std::string& version,
                    std::chrono::seconds period);
  void RemoveRolloutOrder(const std::string& service);
  std::string GetRolloutStatus(const std::string& service) const;

  /// Lets a late write of the state for the operators take effect.
  void OverwriteRolloutStatus(const std::string& service,
                              const std::string& status);

  /// Returns the index of the leader, or the number of hosts if there is none.
  size_t Leader() const;

  /// Return how many sampled keys are granted now, to all servers and to one.
  size_t CountGrantedKeys() const;
  size_t CountGrantedKeysOf(size_t server) const;

  /// Returns how many hosts route a sampled key to a server that has its grant.
  size_t CountRoutingHosts(uint32_t sample) const;

  std::vector<FakeHost> m_hosts;
  std::vector<FakeServer> m_servers;
  bool m_store_down = false;

  /// Requests for a service with a rollout; none by default.
  FakeRolloutTraffic m_traffic;

  /// Fraction of the writes that take effect but whose response is lost.
  double m_lost_response_rate = 0;

  /// Fraction of the writes that time out and still reach the store after the
  /// delay.
  double m_late_write_rate = 0;
  Duration m_late_write_delay = std::chrono::seconds(1);

  /// Fraction of the grant calls that time out and still take effect after the
  /// delay.
  double m_late_grant_rate = 0;
  Duration m_late_grant_delay = std::chrono::seconds(3);

  /// Fraction by which the servers' clocks run slow.
  double m_clock_drift = 0;

  /// Fraction of the release calls that time out and still take effect after
  /// the same delay.
  double m_late_release_rate = 0;

  /// Calls that take effect late do so at whichever server has the address
  /// then, not only at the one that they reached.
  bool m_late_calls_outlive_servers = false;

  /// Fraction of the datagrams between hosts that are lost.
  double m_lost_datagram_rate = 0;

  /// Reads of the watched tables that returned rows, by all hosts.
  size_t m_watch_reads = 0;

  /// Reads and writes of single rows, by all hosts.
  size_t m_row_calls = 0;
  size_t m_double_grants = 0;

  /// Grants that a server took although another server, or an earlier life of
  /// the same one, had had the key under this fencing token or a higher one.
  size_t m_low_fences = 0;

  /// Grants, fencing grants among them, that a server took while another one
  /// had the key.
  size_t m_overlapping_grants = 0;

  /// Steps in which a host had an older configuration than before.
  size_t m_older_configurations = 0;

  /// Steps in which two hosts might act as the leader.
  size_t m_double_leaders = 0;

  /// Limit on the clients' requests in place of their workspace's; unset for
  /// that.
  std::optional<RoutedWorkspace> m_client_limit;

  /// What became of the clients' requests at all hosts.
  RequestRecord m_requests;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);

 private:
  struct StoredValue {
    uint64_t m_version = 0;
    std::string m_value;
    bool m_removed = false;
  };

  void Step();
  void RunHost(size_t host);
  void RunClients(size_t host);
  void SendReportIfDue(size_t host);
  void DeliverWatches(size_t host);
  bool HasChanges(size_t host, WatchedKind kind) const;
  std::string TableOf(WatchedKind kind) const;
  void ReadChanges(size_t host, WatchedKind kind, BootTime sent_at);
  void ApplyRows(size_t host,
                 WatchedKind kind,
                 const RowsResult& result,
                 bool complete);
  void ExecuteCommand(size_t host, const ControlCommand& command);
  void Execute(size_t host, const GrantCommand& command);
  void Execute(size_t host, const ReleaseCommand& command);
  void Send(size_t host, const GrantCommand& command);
  void Send(size_t host, const ReleaseCommand& command);
  void Execute(size_t host, const ReadRowCommand& command);
  void Execute(size_t host, const WriteRowCommand& command);
  void Execute(size_t host, const ReadRolloutStatusCommand& command);
  void Execute(size_t host, const WriteRolloutStatusCommand& command);
  void Execute(size_t host, const SendDatagramCommand& command);
  void RunRolloutTraffic(size_t host);
  WriteResult ApplyWrite(const RowWrite& write);
  WriteResult SendWrite(size_t host, const RowWrite& write);
  void OnWriteResult(size_t host, const RowWrite& write, WriteResult result);
  void CheckHosts();
  void Receive(size_t host, const ClusterMessage& message);
  ServerCallOutcome FindOutcome(size_t host,
                                size_t server,
                                const std::string& id) const;
  ServerCallOutcome ApplyGrant(size_t server, const GrantCommand& command);
  void CountDoubleGrants();
  void ApplyRelease(size_t server, const KeyRange& keys);
  void ScheduleLate(size_t server, std::function<void()> action);
  bool Chance(double rate);
  void RecordFence(uint32_t sample, size_t server, uint64_t fence);
  void Schedule(size_t host, Duration delay, std::function<void()> action);
  bool ReachesStore(size_t host) const;
  size_t ServerAt(const std::string& address) const;
  void PutRow(const std::string& table,
              const std::string& key,
              const std::string& value,
              bool removed = false);
  Now ReadNow() const;

  FakeDirectoryDecoder m_decoder;
  DirectorySystem m_directory{m_decoder};
  std::map<std::pair<std::string, std::string>, StoredValue> m_rows;
  /// Highest fencing token under which a key was granted, and the server and
  /// the life of it that had the key then.
  struct HighestFence {
    uint64_t m_fence = 0;
    size_t m_server = 0;
    int64_t m_incarnation = 0;
  };
  std::array<HighestFence, kSampledKeys> m_highest_fences{};
  uint64_t m_version = 0;
  uint64_t m_era = 0;
  std::map<std::pair<std::string, std::string>, StoredValue> m_copied_rows;
  uint64_t m_copied_version = 0;
  uint64_t m_config_version = 0;
  std::string m_config;
  std::set<std::string> m_evacuated;
  std::map<std::string, std::string> m_rollout_orders;
  std::multimap<TimePoint, std::function<void()>> m_scheduled;
  std::minstd_rand m_random;
};

}  // namespace foxtail
