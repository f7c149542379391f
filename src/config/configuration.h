#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtail {

/// Whether a data centre or backend server may own partitions.
enum class ServingState {
  kServing,

  /// Being drained: partitions move to other servers.
  kLeaving,
};

/// A data centre, as configured by the operators.
struct DataCentreConfig {
  std::string m_name;
  ServingState m_state = ServingState::kServing;

  bool operator==(const DataCentreConfig&) const = default;
};

/// One route of a service.
struct RouteConfig {
  std::string m_method;

  /// Path below the service's name, with a leading slash.
  std::string m_path;

  /// Whether a request may be executed more than once.
  bool m_idempotent = false;

  bool operator==(const RouteConfig&) const = default;
};

/// A backend server of a service.
struct BackendServerConfig {
  std::string m_name;

  /// "IP:PORT".
  std::string m_address;
  std::string m_data_centre;

  /// Requests that the server executes concurrently.
  uint32_t m_slots = 1;

  /// Requests that may wait for a slot.
  uint32_t m_queue = 32;
  ServingState m_state = ServingState::kServing;

  bool operator==(const BackendServerConfig&) const = default;
};

/// A partition key that is assigned to a named backend server.
struct PinnedKeyConfig {
  std::string m_key;
  std::string m_server;

  bool operator==(const PinnedKeyConfig&) const = default;
};

/// A service whose partitions are owned exclusively.
struct ServiceConfig {
  std::string m_name;

  /// Number of hash ranges that the key space is divided into.
  uint32_t m_partitions = 64;

  /// Whether clients may send requests without an API key.
  bool m_open = false;

  /// Whether the backend servers check grants and their fencing epochs.
  bool m_checks_fence = true;

  /// Upper limit and default of a request's deadline.
  std::chrono::milliseconds m_max_deadline{800};
  std::vector<RouteConfig> m_routes;
  std::vector<BackendServerConfig> m_servers;
  std::vector<PinnedKeyConfig> m_pinned_keys;

  bool operator==(const ServiceConfig&) const = default;
};

/// An API key, of which only the digest is stored.
struct ApiKeyConfig {
  /// Name by which operators revoke the key.
  std::string m_name;

  /// SHA-256 as 64 hexadecimal digits.
  std::string m_digest;

  bool operator==(const ApiKeyConfig&) const = default;
};

/// A workspace: a tenant with its API keys and its rate limit over all hosts.
struct WorkspaceConfig {
  std::string m_name;

  /// Requests per second, over all hosts together.
  double m_rate = 1;

  /// Size of a burst, in requests.
  double m_burst = 1;

  /// Share of a full backend server, relative to other workspaces.
  uint32_t m_weight = 1;
  std::vector<std::string> m_services;
  std::vector<ApiKeyConfig> m_api_keys;

  bool operator==(const WorkspaceConfig&) const = default;
};

/// Everything that operators configure. A confirmed configuration has a
/// version.
struct Configuration {
  std::vector<DataCentreConfig> m_data_centres;
  std::vector<ServiceConfig> m_services;
  std::vector<WorkspaceConfig> m_workspaces;

  bool operator==(const Configuration&) const = default;
};

/// Number of a hash partition or, with the top bit set, of a pinned key.
using PartitionNumber = uint32_t;

/// Returns the partition of a key: its own partition if it is pinned, otherwise
/// its hash range.
PartitionNumber PartitionOfKey(const ServiceConfig& service,
                               const std::string& key);

/// Returns the partition number of a pinned key.
PartitionNumber PartitionOfPin(const std::string& key);

/// Returns the hash ranges that may contain a pinned key: one, or two adjacent
/// ones, because a partition number lacks the lowest bit of the hash.
std::vector<PartitionNumber> HashRangesOfPin(const ServiceConfig& service,
                                             PartitionNumber pin);

/// Returns whether a server may own partitions: neither the server nor its data
/// centre is being drained.
bool IsServing(const Configuration& configuration,
               const BackendServerConfig& server);

/// Returns the service with this name, or null.
const ServiceConfig* FindService(const Configuration& configuration,
                                 const std::string& name);

}  // namespace foxtail
