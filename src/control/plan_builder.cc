#include "control/plan_builder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/digest.h"

namespace foxtail {
namespace {

// Expected time for which requests of one partition wait during a planned move.
constexpr double kHoldMsPerMove = 15;

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

bool ReadState(const IntentChange& change,
               ServingState& state,
               std::vector<ValidationError>& faults) {
  if (change.m_state == "serving") {
    state = ServingState::kServing;
  } else if (change.m_state == "leaving") {
    state = ServingState::kLeaving;
  } else {
    faults.push_back({"state", "must be one of: serving, leaving"});
    return false;
  }
  return true;
}

void ChangeDataCentre(const IntentChange& change,
                      Configuration& configuration,
                      std::vector<ValidationError>& faults) {
  auto* row = FindNamed(configuration.m_data_centres, change.m_name);
  if (!row) {
    faults.push_back({"name", "no data centre '" + change.m_name + "'"});
    return;
  }
  ReadState(change, row->m_state, faults);
}

void ChangeServer(const IntentChange& change,
                  Configuration& configuration,
                  std::vector<ValidationError>& faults) {
  auto* service = FindNamed(configuration.m_services, change.m_service);
  auto* server =
      service ? FindNamed(service->m_servers, change.m_name) : nullptr;
  if (!server) {
    faults.push_back({"name", "no server '" + change.m_name + "' in service '" +
                                  change.m_service + "'"});
    return;
  }
  ReadState(change, server->m_state, faults);
}

void GrantKey(const IntentChange& change,
              Configuration& configuration,
              std::vector<ValidationError>& faults) {
  auto* workspace = FindNamed(configuration.m_workspaces, change.m_workspace);
  if (!workspace) {
    faults.push_back(
        {"workspace", "no workspace '" + change.m_workspace + "'"});
    return;
  }
  workspace->m_api_keys.push_back({change.m_name, change.m_digest});
}

void WithdrawKey(const IntentChange& change,
                 Configuration& configuration,
                 std::vector<ValidationError>& faults) {
  auto* workspace = FindNamed(configuration.m_workspaces, change.m_workspace);
  if (!workspace || !FindNamed(workspace->m_api_keys, change.m_name)) {
    faults.push_back({"name", "no key '" + change.m_name + "' in workspace '" +
                                  change.m_workspace + "'"});
    return;
  }
  std::erase_if(workspace->m_api_keys, [&](const ApiKeyConfig& key) {
    return key.m_name == change.m_name;
  });
}

struct ChangeKind {
  const char* m_kind;
  void (*m_apply)(const IntentChange&,
                  Configuration&,
                  std::vector<ValidationError>&);
};

constexpr std::array<ChangeKind, 4> kChangeKinds = {{
    {"data_centre", &ChangeDataCentre},
    {"server", &ChangeServer},
    {"key_grant", &GrantKey},
    {"key_withdraw", &WithdrawKey},
}};

// Describes rows that were added, removed or changed.
template <typename Row>
void DescribeRows(const std::string& what,
                  const std::vector<Row>& base,
                  const std::vector<Row>& proposed,
                  std::vector<std::string>& lines) {
  for (const Row& row : base) {
    const Row* now = FindNamed(proposed, row.m_name);
    if (!now) {
      lines.push_back(fmt::format("remove {} {}", what, row.m_name));
    } else if (!(*now == row)) {
      lines.push_back(fmt::format("change {} {}", what, row.m_name));
    }
  }
  for (const Row& row : proposed) {
    if (!FindNamed(base, row.m_name)) {
      lines.push_back(fmt::format("add {} {}", what, row.m_name));
    }
  }
}

// The servers of one service that will take work, with their partitions.
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
  // Servers without partitions receive their part of the others'.
  const size_t servers = receivers.m_candidates.size();
  const size_t even = servers ? assignment.m_owners.size() / servers : 0;
  for (PlacementCandidate& candidate : receivers.m_candidates) {
    if (candidate.m_partitions == 0 && !assignment.m_owners.empty()) {
      candidate.m_partitions = even;
      moves += even;
    }
  }
  return moves;
}

}  // namespace

void ApplyChange(const IntentChange& change,
                 Configuration& configuration,
                 std::vector<ValidationError>& faults) {
  for (const ChangeKind& kind : kChangeKinds) {
    if (change.m_kind == kind.m_kind) {
      kind.m_apply(change, configuration, faults);
      return;
    }
  }
  faults.push_back({"kind",
                    "must be one of: data_centre, server, key_grant, "
                    "key_withdraw"});
}

void CheckAgainst(const Configuration& base,
                  const Configuration& proposed,
                  std::vector<ValidationError>& faults) {
  for (const ServiceConfig& service : proposed.m_services) {
    const ServiceConfig* before = FindService(base, service.m_name);
    if (before && before->m_partitions != service.m_partitions) {
      faults.push_back({"services." + service.m_name + ".partitions",
                        "cannot change on an existing service"});
    }
    const bool serving = std::ranges::any_of(
        service.m_servers,
        [&](const auto& server) { return IsServing(proposed, server); });
    if (!serving) {
      faults.push_back({"services." + service.m_name + ".servers",
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
      const PlacementCandidate& now = receivers.m_candidates[i];
      const size_t earlier = before.m_candidates[i].m_partitions;
      if (now.m_partitions != earlier) {
        plan.m_changes.push_back(fmt::format("  {}: {} to {} partitions",
                                             now.m_server, earlier,
                                             now.m_partitions));
      }
    }
  }
  plan.m_unavailable_ms = static_cast<double>(plan.m_moves) * kHoldMsPerMove;
}

}  // namespace foxtail
