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

/// Returns a free loopback port from the range that this process has reserved.
/// A port is returned again only after the whole range.
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

/// Size and settings of a test cluster.
struct ClusterSettings {
  uint32_t m_hosts = 3;
  std::vector<std::string> m_data_centres = {"dc-1", "dc-2"};
  std::vector<TestService> m_services = {TestService()};
  std::vector<TestWorkspace> m_workspaces = {TestWorkspace()};

  /// Whether control processes reach the platform, and entries the control
  /// processes, through `standin-proxy`, so that faults can be injected.
  bool m_with_fault_proxy = false;
  std::vector<std::string> m_entry_flags;
  std::vector<std::string> m_control_flags;
};

/// One line of a backend stand-in's record file.
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

/// A cluster of real processes on loopback: platform and backend stand-ins, and
/// an entry and a control process per host.
class Cluster {
 public:
  explicit Cluster(const ClusterSettings& settings);
  ~Cluster();

  /// Starts all processes, applies the configuration and waits until all
  /// partitions are served. Throws `std::runtime_error` with the logs if that
  /// fails.
  void Start();

  /// Makes a plan with one change and confirms the plan; returns the new
  /// configuration version.
  uint64_t ConfirmChange(const std::map<std::string, std::string>& change);

  /// Makes a plan with one change without confirming the plan; returns the
  /// plan's id.
  std::string ProposeChange(const std::map<std::string, std::string>& change);

  /// Calls a method of the first control process that responds and is able to
  /// execute the call.
  Json::Value Rpc(const std::string& method, const Json::Value& parameters);

  /// Calls a method of one host's control process.
  Json::Value RpcAt(uint32_t host,
                    const std::string& method,
                    const Json::Value& parameters);

  /// Returns the host whose control process holds a cell, or -1.
  int HolderOf(const std::string& cell);

  /// Returns the status of a cell as its holder reports it; null when no
  /// process holds the cell.
  Json::Value StatusOf(const std::string& cell);

  /// Returns whether all partitions of a service are in the stable phase
  /// ("settled") on servers that are up and have a dispatcher.
  bool IsStable(const std::string& service);

  /// Returns the host whose entry dispatches to a server, or -1.
  int DispatcherHostOf(const std::string& service, const std::string& server);

  /// Sets a failure of the platform stand-in: "down", "delay_ms" or
  /// "lose_answers".
  void SetPlatformFault(const std::string& what, int value);

  /// Sets a fault on the link from a host's control process to the platform.
  void SetPlatformLinkFault(uint32_t host, const std::string& fault);

  /// Sets a fault on the links from a host's entry process to all control
  /// processes.
  void SetEntryLinkFaults(uint32_t host, const std::string& fault);

  /// Calls /standin of a backend stand-in: GET if `body` is empty, else POST.
  Json::Value CallBackend(const std::string& name,
                          const std::string& body = "");

  /// Starts or restarts a process of a host, or a backend stand-in.
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

  /// Returns the records of all backend stand-ins, ordered by time.
  std::vector<RunRecord> ReadRecords() const;

  /// Returns the contents of all files in the folder: logs, events, records and
  /// output.
  std::string ReadLogs() const;

  /// Waits until `condition` holds; returns false if `timeout` expires first.
  static bool Eventually(const std::function<bool()>& condition,
                         Duration timeout = std::chrono::seconds(20));

  /// Returns whether tests check time limits too, which the variable
  /// FOXTAIL_TIMED=1 requests. Only a quiet machine meets the limits; a shared
  /// one may stall for seconds.
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
