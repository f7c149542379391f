#include "control/plan_builder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/digest.h"

namespace foxtail {
namespace {

// Expected time for which a planned move pauses one partition, in milliseconds.
constexpr double kPauseMsPerMove = 15;

template <typename Row>
Row* FindNamed(std::vector<Row>& rows, const std::string& name) {
  const auto found = std::ranges::find(rows, name, &Row::m_name);
  return found == rows.end() ? nullptr : &*found;
}

template <typename Row>
const Row* FindNamed(const std::vector<Row>& rows, const std::string& name) {
  const auto found = std::ranges::find(rows, name, &Row::m_name);
  return found == rows.end() ? nullptr : &*found;
}

bool ParseState(const ConfigurationChange& change,
                ServingState& state,
                std::vector<ValidationError>& errors) {
  if (change.m_state == "serving") {
    state = ServingState::kServing;
  } else if (change.m_state == "leaving") {
    state = ServingState::kLeaving;
  } else {
    errors.push_back({"state", "must be one of: serving, leaving"});
    return false;
  }
  return true;
}

void ChangeDataCentre(const ConfigurationChange& change,
                      Configuration& configuration,
                      std::vector<ValidationError>& errors) {
  auto* row = FindNamed(configuration.m_data_centres, change.m_name);
  if (!row) {
    errors.push_back({"name", "no data centre '" + change.m_name + "'"});
    return;
  }
  ParseState(change, row->m_state, errors);
}

void ChangeServer(const ConfigurationChange& change,
                  Configuration& configuration,
                  std::vector<ValidationError>& errors) {
  auto* service = FindNamed(configuration.m_services, change.m_service);
  auto* server =
      service ? FindNamed(service->m_servers, change.m_name) : nullptr;
  if (!server) {
    errors.push_back({"name", "no server '" + change.m_name + "' in service '" +
                                  change.m_service + "'"});
    return;
  }
  ParseState(change, server->m_state, errors);
}

void GrantApiKey(const ConfigurationChange& change,
                 Configuration& configuration,
                 std::vector<ValidationError>& errors) {
  auto* workspace = FindNamed(configuration.m_workspaces, change.m_workspace);
  if (!workspace) {
    errors.push_back(
        {"workspace", "no workspace '" + change.m_workspace + "'"});
    return;
  }
  workspace->m_api_keys.push_back({change.m_name, change.m_digest});
}

void WithdrawApiKey(const ConfigurationChange& change,
                    Configuration& configuration,
                    std::vector<ValidationError>& errors) {
  auto* workspace = FindNamed(configuration.m_workspaces, change.m_workspace);
  if (!workspace || !FindNamed(workspace->m_api_keys, change.m_name)) {
    errors.push_back({"name", "no key '" + change.m_name + "' in workspace '" +
                                  change.m_workspace + "'"});
    return;
  }
  std::erase_if(workspace->m_api_keys, [&](const ApiKeyConfig& key) {
    return key.m_name == change.m_name;
  });
}

struct ChangeKind {
  const char* m_kind;
  void (*m_apply)(const ConfigurationChange&,
                  Configuration&,
                  std::vector<ValidationError>&);
};

constexpr std::array<ChangeKind, 4> kChangeKinds = {{
    {"data_centre", &ChangeDataCentre},
    {"server", &ChangeServer},
    {"key_grant", &GrantApiKey},
    {"key_withdraw", &WithdrawApiKey},
}};

// Appends one line per row that was removed, changed or added.
template <typename Row>
void DescribeRows(const std::string& kind,
                  const std::vector<Row>& base,
                  const std::vector<Row>& proposed,
                  std::vector<std::string>& lines) {
  for (const Row& row : base) {
    const Row* updated = FindNamed(proposed, row.m_name);
    if (!updated) {
      lines.push_back(fmt::format("remove {} {}", kind, row.m_name));
    } else if (!(*updated == row)) {
      lines.push_back(fmt::format("change {} {}", kind, row.m_name));
    }
  }
  for (const Row& row : proposed) {
    if (!FindNamed(base, row.m_name)) {
      lines.push_back(fmt::format("add {} {}", kind, row.m_name));
    }
  }
}

// The serving servers of one service, with their partition counts.
struct Receivers {
  std::vector<PlacementCandidate> m_candidates;

  explicit Receivers(const Configuration& configuration,
                     const ServiceConfig& service,
                     const AssignmentRecord& assignment) {
    for (const BackendServerConfig& server : service.m_servers) {
      if (IsServing(configuration, server)) {
        const auto owned = std::ranges::count(
            assignment.m_owners, server.m_name, &PartitionOwner::m_server);
        m_candidates.push_back(
            {server.m_name, server.m_slots, static_cast<size_t>(owned), 0});
      }
    }
  }

  PlacementCandidate* Find(const std::string& name) {
    const auto found =
        std::ranges::find(m_candidates, name, &PlacementCandidate::m_server);
    return found == m_candidates.end() ? nullptr : &*found;
  }
};

size_t CountMoves(const PlacementStrategy& strategy,
                  const ServiceConfig& service,
                  const AssignmentRecord& assignment,
                  Receivers& receivers) {
  size_t moves = 0;
  for (const PartitionOwner& owner : assignment.m_owners) {
    if (receivers.Find(owner.m_server) || owner.m_server.empty()) {
      continue;
    }
    const size_t target = strategy.Choose(
        FastHash(service.m_name, owner.m_number), receivers.m_candidates);
    ++receivers.m_candidates[target].m_partitions;
    ++moves;
  }
  // Servers without partitions receive an even share from the others.
  const size_t servers = receivers.m_candidates.size();
  const size_t even_share = servers ? assignment.m_owners.size() / servers : 0;
  for (PlacementCandidate& candidate : receivers.m_candidates) {
    if (candidate.m_partitions == 0 && !assignment.m_owners.empty()) {
      candidate.m_partitions = even_share;
      moves += even_share;
    }
  }
  return moves;
}

}  // namespace

void ApplyChange(const ConfigurationChange& change,
                 Configuration& configuration,
                 std::vector<ValidationError>& errors) {
  for (const ChangeKind& kind : kChangeKinds) {
    if (change.m_kind == kind.m_kind) {
      kind.m_apply(change, configuration, errors);
      return;
    }
  }
  errors.push_back({"kind",
                    "must be one of: data_centre, server, key_grant, "
                    "key_withdraw"});
}

void ValidateChange(const Configuration& base,
                    const Configuration& proposed,
                    std::vector<ValidationError>& errors) {
  for (const ServiceConfig& service : proposed.m_services) {
    const ServiceConfig* before = FindService(base, service.m_name);
    if (before && before->m_partitions != service.m_partitions) {
      errors.push_back({"services." + service.m_name + ".partitions",
                        "cannot change on an existing service"});
    }
    const bool serving = std::ranges::any_of(
        service.m_servers,
        [&](const auto& server) { return IsServing(proposed, server); });
    if (!serving) {
      errors.push_back({"services." + service.m_name + ".servers",
                        "no server would be left to take work"});
    }
  }
}

std::vector<std::string> DescribeChanges(const Configuration& base,
                                         const Configuration& proposed) {
  std::vector<std::string> lines;
  DescribeRows("data centre", base.m_data_centres, proposed.m_data_centres,
               lines);
  DescribeRows("service", base.m_services, proposed.m_services, lines);
  for (const ServiceConfig& service : proposed.m_services) {
    if (const ServiceConfig* before = FindService(base, service.m_name)) {
      DescribeRows("server " + service.m_name + "/", before->m_servers,
                   service.m_servers, lines);
    }
  }
  DescribeRows("workspace", base.m_workspaces, proposed.m_workspaces, lines);
  for (const WorkspaceConfig& workspace : proposed.m_workspaces) {
    if (const auto* before = FindNamed(base.m_workspaces, workspace.m_name)) {
      DescribeRows("API key " + workspace.m_name + "/", before->m_api_keys,
                   workspace.m_api_keys, lines);
    }
  }
  return lines;
}

void EstimateCost(const PlacementStrategy& strategy,
                  const std::map<std::string, AssignmentRecord>& assignments,
                  PlanRecord& plan) {
  plan.m_moves = 0;
  for (const ServiceConfig& service : plan.m_configuration.m_services) {
    const auto found = assignments.find(service.m_name);
    if (found == assignments.end()) {
      plan.m_changes.push_back(fmt::format(
          "service {}: {} partitions receive a first owner", service.m_name,
          service.m_partitions + service.m_pinned_keys.size()));
      continue;
    }
    Receivers receivers(plan.m_configuration, service, found->second);
    if (receivers.m_candidates.empty()) {
      continue;
    }
    const Receivers before = receivers;
    const size_t moves =
        CountMoves(strategy, service, found->second, receivers);
    plan.m_moves += moves;
    if (moves == 0) {
      continue;
    }
    plan.m_changes.push_back(
        fmt::format("service {}: {} partitions move", service.m_name, moves));
    for (size_t i = 0; i < receivers.m_candidates.size(); ++i) {
      const PlacementCandidate& after = receivers.m_candidates[i];
      const size_t count_before = before.m_candidates[i].m_partitions;
      if (after.m_partitions != count_before) {
        plan.m_changes.push_back(fmt::format("  {}: {} to {} partitions",
                                             after.m_server, count_before,
                                             after.m_partitions));
      }
    }
  }
  plan.m_unavailable_ms = static_cast<double>(plan.m_moves) * kPauseMsPerMove;
}

}  // namespace foxtail
