#pragma once

#include <json/value.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/time.h"
#include "daemon/control_rpc_client.h"
#include "runtime/http_client.h"
#include "support/process.h"

namespace foxtail {

/// Returns a free port of loopback that this process has not returned before.
uint16_t NextPort();

/// A service of a test cluster.
struct TestService {
  std::string m_name = "catalogue";
  uint32_t m_servers = 4;
  uint32_t m_slots = 2;
  uint32_t m_queue = 64;
  uint32_t m_partitions = 16;
  bool m_checks_fence = true;
  std::chrono::milliseconds m_max_deadline{800};
  std::chrono::milliseconds m_service_time{2};
  uint32_t m_cold_requests = 0;
};

/// A workspace of a test cluster; its API key is "key-" and its name.
struct TestWorkspace {
  std::string m_name = "club-1";
  double m_rate = 100'000;
  double m_burst = 10'000;
  uint32_t m_weight = 1;
};

/// What a test cluster consists of.
struct ClusterSettings {
  uint32_t m_hosts = 3;
  std::vector<std::string> m_data_centres = {"dc-1", "dc-2"};
  std::vector<TestService> m_services = {TestService()};
  std::vector<TestWorkspace> m_workspaces = {TestWorkspace()};

  /// Whether faulty links stand between the processes.
  bool m_with_fault_proxy = false;
  std::vector<std::string> m_entry_flags;
  std::vector<std::string> m_control_flags;
};

/// One line of a backend stand-in's own record.
struct RunRecord {
  std::string m_server;
  std::string m_event;
  int64_t m_time_us = 0;
  std::string m_request;
  std::string m_workspace;
  std::string m_service;
  uint32_t m_partition = 0;
  uint64_t m_epoch = 0;
  std::string m_line;
};

/// Real processes on loopback: platform and backend stand-ins, and on each host
/// an entry and a control process.
class Cluster {
 public:
  explicit Cluster(const ClusterSettings& settings);
  ~Cluster();

  /// Starts everything, applies the configuration and waits until all
  /// partitions are served.
  void Start();

  /// Makes a plan that changes one thing and confirms it; returns the version.
  uint64_t ConfirmChange(const std::map<std::string, std::string>& change);

  /// Makes a plan without confirming it; returns its id.
  std::string ProposeChange(const std::map<std::string, std::string>& change);

  /// Calls a method at the first control process that responses.
  Json::Value Rpc(const std::string& method, const Json::Value& parameters);

  /// Calls a method at one host's control process.
  Json::Value RpcAt(uint32_t host,
                    const std::string& method,
                    const Json::Value& parameters);

  /// Returns the host whose control process holds a cell, or -1.
  int HolderOf(const std::string& cell);

  /// Returns the status of a cell from its holder; null when nobody holds it.
  Json::Value StatusOf(const std::string& cell);

  /// Returns whether all partitions of a service are settled on servers that
  /// are up.
  bool IsStable(const std::string& service);

  /// Returns the host whose entry dispatches to a server, or -1.
  int DispatcherHostOf(const std::string& service, const std::string& server);

  /// Sets a failure of the platform: "down", "delay_ms", "lose_answers".
  void SetPlatformFault(const std::string& what, int value);

  /// Sets a fault on the link from a host's control to the platform.
  void SetPlatformLinkFault(uint32_t host, const std::string& fault);

  /// Sets a fault on the links from a host's entry to all control processes.
  void SetEntryLinkFaults(uint32_t host, const std::string& fault);

  /// Talks to a backend stand-in: GET without a body, else POST.
  Json::Value CallBackend(const std::string& name,
                          const std::string& body = "");

  /// Starts or starts again the processes of a host or server.
  void StartControl(uint32_t host);
  void StartEntry(uint32_t host);
  void StartBackend(const std::string& name);

  Process& Control(uint32_t host) { return *m_controls.at(host); }
  Process& Entry(uint32_t host) { return *m_entries.at(host); }
  Process& BackendProcess(const std::string& name) {
    return *m_backends.at(name);
  }

  Address EntryAddress(uint32_t host) const;
  Address ControlAddress(uint32_t host) const;
  Address BackendAddress(const std::string& name) const;
  Address InternalAddress(uint32_t host) const;

  /// Records of all backend stand-ins, ordered by time.
  std::vector<RunRecord> ReadRecords() const;

  /// Everything that the processes wrote: logs, events and output.
  std::string ReadLogs() const;

  /// Waits until `condition` holds; returns false when it does not in time.
  static bool Eventually(const std::function<bool()>& condition,
                         Duration timeout = std::chrono::seconds(20));

  /// Returns whether times are checked too. They are on a quiet machine, with
  /// the variable FOXTAIL_TIMED=1; a shared one may stop for seconds.
  static bool EnforcesTimeLimits();

  const std::string& GetFolder() const { return m_folder; }
  const Json::Value& GetDocument() const { return m_document; }

 private:
  struct BackendEndpoint {
    uint16_t m_port = 0;
    TestService m_service;
    std::string m_data_centre;
  };

  void BuildDocument();
  void StartProxy();
  std::string ControlAddressList() const;
  std::string DataCentreOf(uint32_t host) const;
  void SetLink(size_t link, const std::string& fault);

  ClusterSettings m_settings;
  std::string m_folder;
  Json::Value m_document;
  HttpClient m_client;
  uint16_t m_platform_port = 0;
  uint16_t m_proxy_port = 0;
  std::vector<uint16_t> m_entry_ports;
  std::vector<uint16_t> m_internal_ports;
  std::vector<uint16_t> m_control_ports;
  std::vector<uint16_t> m_platform_link_ports;
  std::vector<std::vector<uint16_t>> m_entry_link_ports;
  std::map<std::string, BackendEndpoint> m_backend_endpoints;
  std::unique_ptr<Process> m_platform;
  std::unique_ptr<Process> m_proxy;
  std::map<uint32_t, std::unique_ptr<Process>> m_controls;
  std::map<uint32_t, std::unique_ptr<Process>> m_entries;
  std::map<std::string, std::unique_ptr<Process>> m_backends;
};

}  // namespace foxtail
