#include "config/configuration_json.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/error.h"
#include "runtime/address.h"

namespace foxtail {
namespace {

constexpr uint32_t kMaxPartitions = 65536;
constexpr uint32_t kMaxSlots = 10000;
constexpr uint32_t kMaxQueue = 100000;
constexpr uint32_t kMinDeadlineMs = 10;
constexpr uint32_t kMaxDeadlineMs = 60000;
constexpr uint32_t kMaxWeight = 1000;
constexpr double kMaxRate = 1e9;  // requests per second
constexpr size_t kDigestLength = 64;

const std::vector<std::string>& StateNames() {
  static const std::vector<std::string> names = {"serving", "leaving"};
  return names;
}

ServingState ReadState(FieldReader& reader) {
  return static_cast<ServingState>(reader.ReadChoice("state", StateNames()));
}

DataCentreConfig ReadDataCentre(FieldReader& reader) {
  DataCentreConfig data_centre;
  data_centre.m_name = reader.ReadName("name");
  data_centre.m_state = ReadState(reader);
  return data_centre;
}

RouteConfig ReadRoute(FieldReader& reader) {
  static const std::vector<std::string> methods = {"GET", "POST", "PUT",
                                                   "DELETE", "PATCH"};
  RouteConfig route;
  route.m_method = methods[reader.ReadChoice("method", methods)];
  route.m_path = reader.ReadText("path");
  if (!route.m_path.empty() && route.m_path.front() != '/') {
    reader.AddError("path", "must start with '/'");
  }
  route.m_idempotent = reader.ReadBool("repeatable", false);
  return route;
}

BackendServerConfig ReadServer(FieldReader& reader) {
  BackendServerConfig server;
  server.m_name = reader.ReadName("name");
  server.m_address = reader.ReadText("address");
  try {
    ParseAddress(server.m_address);
  } catch (const Error&) {
    reader.AddError("address", "must be IP:PORT");
  }
  server.m_data_centre = reader.ReadName("data_centre");
  server.m_slots = reader.ReadInteger("slots", server.m_slots, 1, kMaxSlots);
  server.m_queue = reader.ReadInteger("queue", server.m_queue, 0, kMaxQueue);
  server.m_state = ReadState(reader);
  return server;
}

PinnedKeyConfig ReadPinnedKey(FieldReader& reader) {
  PinnedKeyConfig pinned;
  pinned.m_key = reader.ReadText("key");
  pinned.m_server = reader.ReadName("server");
  return pinned;
}

ApiKeyConfig ReadApiKey(FieldReader& reader) {
  ApiKeyConfig key;
  key.m_name = reader.ReadName("name");
  key.m_digest = reader.ReadText("digest");
  const bool hexadecimal =
      key.m_digest.size() == kDigestLength &&
      key.m_digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!hexadecimal) {
    reader.AddError("digest", "must be 64 lower-case hexadecimal digits");
  }
  return key;
}

// Reads an array of objects; `read` decodes one element.
template <typename Element>
std::vector<Element> ReadElements(FieldReader& parent,
                                  const char* field,
                                  std::vector<ValidationError>& errors,
                                  Element (*read)(FieldReader&)) {
  std::vector<Element> elements;
  parent.ForEachElement(field,
                        [&](const Json::Value& value, const std::string& path) {
                          FieldReader reader(value, path, errors);
                          elements.push_back(read(reader));
                        });
  return elements;
}

ServiceConfig ReadService(FieldReader& reader,
                          std::vector<ValidationError>& errors) {
  ServiceConfig service;
  service.m_name = reader.ReadName("name");
  service.m_partitions =
      reader.ReadInteger("partitions", service.m_partitions, 1, kMaxPartitions);
  service.m_open = reader.ReadBool("open", service.m_open);
  service.m_checks_fence =
      reader.ReadBool("checks_fence", service.m_checks_fence);
  service.m_max_deadline = std::chrono::milliseconds(reader.ReadInteger(
      "max_deadline_ms", static_cast<uint32_t>(service.m_max_deadline.count()),
      kMinDeadlineMs, kMaxDeadlineMs));
  service.m_routes = ReadElements(reader, "routes", errors, &ReadRoute);
  service.m_servers = ReadElements(reader, "servers", errors, &ReadServer);
  service.m_pinned_keys =
      ReadElements(reader, "pinned_keys", errors, &ReadPinnedKey);
  return service;
}

WorkspaceConfig ReadWorkspace(FieldReader& reader,
                              std::vector<ValidationError>& errors) {
  WorkspaceConfig workspace;
  workspace.m_name = reader.ReadName("name");
  workspace.m_rate = reader.ReadPositive("rate_per_second", kMaxRate);
  workspace.m_burst = reader.ReadPositive("burst", kMaxRate);
  workspace.m_weight = reader.ReadInteger("weight", 1, 1, kMaxWeight);
  reader.ForEachElement(
      "services", [&](const Json::Value& value, const std::string& path) {
        if (value.isString()) {
          workspace.m_services.push_back(value.asString());
        } else {
          errors.push_back({path, "must be a service's name"});
        }
      });
  workspace.m_api_keys = ReadElements(reader, "api_keys", errors, &ReadApiKey);
  return workspace;
}

// Validates rules that involve more than one element: unique names, references
// between elements and collisions of pinned keys.
class ConsistencyChecker {
 public:
  ConsistencyChecker(const Configuration& configuration,
                     std::vector<ValidationError>& errors)
      : m_configuration(configuration), m_errors(errors) {}

  void Run() {
    CheckUnique("data_centres", m_configuration.m_data_centres,
                &DataCentreConfig::m_name);
    CheckUnique("services", m_configuration.m_services, &ServiceConfig::m_name);
    CheckUnique("workspaces", m_configuration.m_workspaces,
                &WorkspaceConfig::m_name);
    for (size_t i = 0; i < m_configuration.m_services.size(); ++i) {
      CheckService("services[" + std::to_string(i) + "]",
                   m_configuration.m_services[i]);
    }
    for (size_t i = 0; i < m_configuration.m_workspaces.size(); ++i) {
      CheckWorkspace("workspaces[" + std::to_string(i) + "]",
                     m_configuration.m_workspaces[i]);
    }
  }

 private:
  template <typename Row>
  void CheckUnique(const std::string& path,
                   const std::vector<Row>& rows,
                   std::string Row::*field) {
    std::set<std::string> seen;
    for (size_t i = 0; i < rows.size(); ++i) {
      if (!seen.insert(rows[i].*field).second) {
        m_errors.push_back({path + "[" + std::to_string(i) + "]",
                            "'" + rows[i].*field + "' appears twice"});
      }
    }
  }

  void CheckService(const std::string& path, const ServiceConfig& service) {
    CheckUnique(path + ".servers", service.m_servers,
                &BackendServerConfig::m_name);
    CheckUnique(path + ".servers", service.m_servers,
                &BackendServerConfig::m_address);
    CheckUnique(path + ".pinned_keys", service.m_pinned_keys,
                &PinnedKeyConfig::m_key);
    if (service.m_name == "access") {
      m_errors.push_back({path + ".name", "'access' is reserved"});
    }
    if (service.m_servers.empty()) {
      m_errors.push_back({path + ".servers", "needs at least one server"});
    }
    for (size_t i = 0; i < service.m_servers.size(); ++i) {
      CheckDataCentre(path + ".servers[" + std::to_string(i) + "]",
                      service.m_servers[i].m_data_centre);
    }
    std::set<PartitionNumber> pins;
    for (size_t i = 0; i < service.m_pinned_keys.size(); ++i) {
      CheckPin(path + ".pinned_keys[" + std::to_string(i) + "]", service,
               service.m_pinned_keys[i], pins);
    }
  }

  void CheckDataCentre(const std::string& path, const std::string& name) {
    const auto& all = m_configuration.m_data_centres;
    if (std::ranges::find(all, name, &DataCentreConfig::m_name) == all.end()) {
      m_errors.push_back(
          {path + ".data_centre", "'" + name + "' is not listed"});
    }
  }

  void CheckPin(const std::string& path,
                const ServiceConfig& service,
                const PinnedKeyConfig& pinned,
                std::set<PartitionNumber>& pins) {
    const auto& servers = service.m_servers;
    if (std::ranges::find(servers, pinned.m_server,
                          &BackendServerConfig::m_name) == servers.end()) {
      m_errors.push_back(
          {path + ".server", "'" + pinned.m_server + "' is not listed"});
    }
    if (!pins.insert(PartitionOfPin(pinned.m_key)).second) {
      m_errors.push_back(
          {path + ".key", "collides with another pinned key's hash"});
    }
  }

  void CheckWorkspace(const std::string& path,
                      const WorkspaceConfig& workspace) {
    CheckUnique(path + ".api_keys", workspace.m_api_keys,
                &ApiKeyConfig::m_name);
    for (size_t i = 0; i < workspace.m_services.size(); ++i) {
      if (!FindService(m_configuration, workspace.m_services[i])) {
        m_errors.push_back({path + ".services[" + std::to_string(i) + "]",
                            "'" + workspace.m_services[i] + "' is not listed"});
      }
    }
    for (size_t i = 0; i < workspace.m_api_keys.size(); ++i) {
      const auto [holder, inserted] =
          m_digests.emplace(workspace.m_api_keys[i].m_digest, workspace.m_name);
      if (!inserted) {
        m_errors.push_back(
            {path + ".api_keys[" + std::to_string(i) + "]",
             "the same key belongs to '" + holder->second + "'"});
      }
    }
  }

  const Configuration& m_configuration;
  std::vector<ValidationError>& m_errors;
  std::map<std::string, std::string> m_digests;
};

Json::Value ServerToJson(const BackendServerConfig& server) {
  Json::Value value;
  value["name"] = server.m_name;
  value["address"] = server.m_address;
  value["data_centre"] = server.m_data_centre;
  value["slots"] = server.m_slots;
  value["queue"] = server.m_queue;
  value["state"] = StateNames()[static_cast<size_t>(server.m_state)];
  return value;
}

Json::Value ServiceToJson(const ServiceConfig& service) {
  Json::Value value;
  value["name"] = service.m_name;
  value["partitions"] = service.m_partitions;
  value["open"] = service.m_open;
  value["checks_fence"] = service.m_checks_fence;
  value["max_deadline_ms"] =
      static_cast<Json::UInt>(service.m_max_deadline.count());
  value["routes"] = Json::Value(Json::arrayValue);
  for (const RouteConfig& route : service.m_routes) {
    Json::Value row;
    row["method"] = route.m_method;
    row["path"] = route.m_path;
    row["repeatable"] = route.m_idempotent;
    value["routes"].append(row);
  }
  value["servers"] = Json::Value(Json::arrayValue);
  for (const BackendServerConfig& server : service.m_servers) {
    value["servers"].append(ServerToJson(server));
  }
  value["pinned_keys"] = Json::Value(Json::arrayValue);
  for (const PinnedKeyConfig& pinned : service.m_pinned_keys) {
    Json::Value row;
    row["key"] = pinned.m_key;
    row["server"] = pinned.m_server;
    value["pinned_keys"].append(row);
  }
  return value;
}

Json::Value WorkspaceToJson(const WorkspaceConfig& workspace) {
  Json::Value value;
  value["name"] = workspace.m_name;
  value["rate_per_second"] = workspace.m_rate;
  value["burst"] = workspace.m_burst;
  value["weight"] = workspace.m_weight;
  value["services"] = Json::Value(Json::arrayValue);
  for (const std::string& service : workspace.m_services) {
    value["services"].append(service);
  }
  value["api_keys"] = Json::Value(Json::arrayValue);
  for (const ApiKeyConfig& key : workspace.m_api_keys) {
    Json::Value row;
    row["name"] = key.m_name;
    row["digest"] = key.m_digest;
    value["api_keys"].append(row);
  }
  return value;
}

}  // namespace

Json::Value ConfigurationToJson(const Configuration& configuration) {
  Json::Value document;
  document["data_centres"] = Json::Value(Json::arrayValue);
  for (const DataCentreConfig& row : configuration.m_data_centres) {
    Json::Value value;
    value["name"] = row.m_name;
    value["state"] = StateNames()[static_cast<size_t>(row.m_state)];
    document["data_centres"].append(value);
  }
  document["services"] = Json::Value(Json::arrayValue);
  for (const ServiceConfig& service : configuration.m_services) {
    document["services"].append(ServiceToJson(service));
  }
  document["workspaces"] = Json::Value(Json::arrayValue);
  for (const WorkspaceConfig& workspace : configuration.m_workspaces) {
    document["workspaces"].append(WorkspaceToJson(workspace));
  }
  return document;
}

Configuration ConfigurationFromJson(const Json::Value& document,
                                    std::vector<ValidationError>& errors) {
  Configuration configuration;
  {
    FieldReader reader(document, "", errors);
    configuration.m_data_centres =
        ReadElements(reader, "data_centres", errors, &ReadDataCentre);
    reader.ForEachElement(
        "services", [&](const Json::Value& value, const std::string& path) {
          FieldReader service(value, path, errors);
          configuration.m_services.push_back(ReadService(service, errors));
        });
    reader.ForEachElement("workspaces", [&](const Json::Value& value,
                                            const std::string& path) {
      FieldReader workspace(value, path, errors);
      configuration.m_workspaces.push_back(ReadWorkspace(workspace, errors));
    });
  }
  if (errors.empty()) {
    ConsistencyChecker(configuration, errors).Run();
  }
  return configuration;
}

}  // namespace foxtail
