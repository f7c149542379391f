#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/directory_system.h"
#include "gateway/gateway_tables.h"

namespace foxtail {

/// Fake of the rows that operators and servers write: fields separated by
/// spaces.
class FakeDirectory : public DirectoryDecoder {
 public:
  std::string OperatorTable() const override { return "operators"; }
  std::string ServerTable() const override { return "servers"; }
  OperatorRowKind ClassifyRow(const std::string& key,
                              std::string& data_centre) const override;
  RoutingConfig DecodeConfiguration(const std::string& value) const override;
  BackendServerEntry DecodeServer(const std::string& key,
                                  const std::string& value) const override;
};

/// Keys that the fakes look at: one in each 64th of the key space.
inline constexpr uint32_t kSampledKeys = 64;

/// Fake of a backend server that enforces its grants.
struct FakeServer {
  std::string m_data_centre;
  bool m_up = true;
  bool m_draining = false;
  int64_t m_incarnation = 1;

  /// Hosts that cannot reach it.
  std::set<size_t> m_cut_from;

  struct Hold {
    uint64_t m_fence = 0;
    uint64_t m_highest_fence = 0;
    TimePoint m_until;
  };
  std::array<Hold, kSampledKeys> m_holds{};

  bool Holds(uint32_t sample, TimePoint now) const {
    return m_up && now < m_holds[sample].m_until;
  }
};

/// Fake of one gateway host: real control decisions, no input or output.
struct FakeHost {
  GatewayTables m_tables;
  bool m_up = true;
  double m_processor_share = 1;

  /// The store refuses this host, or neither end hears the other.
  bool m_store_refuses = false;

  /// Cut off from the other hosts.
  bool m_cut = false;
  uint64_t m_incarnation = 0;
  TimePoint m_next_report;

  /// Loads that its reports tell.
  std::vector<ServiceLoad> m_loads;
};

/// Several hosts, servers and the store on a hand-written clock, in steps of
/// 10 ms. Checks in each step that no key has two holders.
class GatewayWorld {
 public:
  GatewayWorld(size_t hosts, size_t servers, uint32_t seed = 1);

  /// Goes on for a time. Failed checks are counted in `m_double_holds`.
  void Run(Duration duration);

  /// Ends a host's process; `Start` begins a new one at the same address.
  void Kill(size_t host);
  void Start(size_t host);

  void SetServer(size_t server);
  void DropServer(size_t server);
  void Evacuate(const std::string& data_centre, bool evacuate);

  /// Returns the leading host, or the number of hosts.
  size_t Leader() const;

  /// Returns how many sampled keys a server holds now, in all and at one.
  size_t CountHeld() const;
  size_t CountHeldBy(size_t server) const;

  /// Returns how many hosts route a sampled key to a server that holds it.
  size_t CountRouted(uint32_t sample) const;

  std::vector<FakeHost> m_hosts;
  std::vector<FakeServer> m_servers;
  bool m_store_down = false;

  /// Part of the writes that take effect but are not answered.
  double m_lost_answers = 0;

  /// Part of the grants that are not answered and carried out this late.
  double m_late_grants = 0;
  Duration m_late_by = std::chrono::seconds(3);

  /// Part of the datagrams between hosts that are lost.
  double m_lost_datagrams = 0;

  /// Reads of the watched tables by all hosts.
  size_t m_reads = 0;
  size_t m_double_holds = 0;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);

 private:
  struct StoredValue {
    uint64_t m_version = 0;
    std::string m_value;
    bool m_removed = false;
  };

  void Step();
  void RunHost(size_t host);
  void DeliverWatches(size_t host);
  void ReadChanges(size_t host, WatchedKind kind);
  void TakeRows(size_t host, WatchedKind kind, const RowsResult& result);
  void Carry(size_t host, const ControlCommand& command);
  void CarryOut(size_t host, const GrantCommand& command);
  void CarryOut(size_t host, const ReleaseCommand& command);
  void CarryOut(size_t host, const ReadRowCommand& command);
  void CarryOut(size_t host, const WriteRowCommand& command);
  void CarryOut(size_t host, const SendDatagramCommand& command);
  void Receive(size_t host, const ClusterMessage& message);
  ServerCallOutcome Apply(size_t server, const GrantCommand& command);
  void CheckHolds();
  void Later(size_t host, Duration delay, std::function<void()> action);
  bool ReachesStore(size_t host) const;
  size_t ServerAt(const std::string& address) const;
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value,
           bool removed = false);
  Now ReadNow() const;

  FakeDirectory m_decoder;
  DirectorySystem m_directory{m_decoder};
  std::map<std::pair<std::string, std::string>, StoredValue> m_rows;
  uint64_t m_version = 0;
  std::multimap<TimePoint, std::function<void()>> m_later;
  std::minstd_rand m_random;
};

}  // namespace foxtail
