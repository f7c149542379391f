#include "control/grant_system.h"

#include <algorithm>

namespace foxtail {
namespace {

void ApplyResponse(ControlTables& tables, const GrantResponse& response) {
  BackendServerRow* server = tables.m_servers.Find(response.m_server);
  if (!server || !server->m_grant_in_flight ||
      response.m_number != server->m_last_grant_number) {
    return;
  }
  server->m_grant_in_flight = false;
  if (!response.m_accepted) {
    return;
  }
  server->m_confirmed_grants = server->m_pending_grants;
  server->m_possible_grants_known = true;
  server->m_possible_grants.clear();
  for (const auto& [number, epoch] : server->m_confirmed_grants) {
    server->m_possible_grants.insert(number);
  }
}

// Returns the partitions that a server may serve, with their epochs: those that
// the server owns, and those that move away from the server, until its
// dispatcher has released them.
std::map<PartitionNumber, uint64_t> PartitionsToGrant(
    const ControlTables& tables,
    const CellRow& cell,
    BackendServerId id) {
  std::map<PartitionNumber, uint64_t> grants;
  for (const auto& [number, partition_id] : cell.m_partitions) {
    const PartitionRow& partition = tables.m_partitions.Get(partition_id);
    const bool releasing = partition.m_phase == MovePhase::kReleasing;
    if (releasing && partition.m_previous_owner == id) {
      grants.emplace(number, partition.m_epoch - 1);
    } else if (partition.m_owner == id && !releasing &&
               partition.m_phase != MovePhase::kRevoking) {
      grants.emplace(number, partition.m_epoch);
    }
  }
  return grants;
}

void RenewGrant(ControlContext& context,
                const CellRow& cell,
                BackendServerId id,
                BackendServerRow& server) {
  const ControlSettings& settings = context.m_tables.m_settings;
  const TimePoint now = context.m_now.m_steady;
  SendGrantCommand grant;
  grant.m_server = id;
  grant.m_address = server.m_config.m_address;
  grant.m_cell_name = cell.m_name;
  grant.m_control_epoch = cell.m_lease.m_record.m_epoch;
  grant.m_number = ++server.m_last_grant_number;
  grant.m_ttl = settings.m_grant_ttl;
  grant.m_expires_at = context.m_now.m_wall + settings.m_grant_ttl;
  grant.m_partitions = PartitionsToGrant(context.m_tables, cell, id);
  server.m_pending_grants = grant.m_partitions;
  for (const auto& [number, epoch] : server.m_pending_grants) {
    server.m_possible_grants.insert(number);
  }
  server.m_grant_in_flight = true;
  server.m_grant_due = false;
  server.m_next_grant_at = now + settings.m_grant_renew_period;
  // The grant carries its expiry in wall time, so a copy that is delivered late
  // does not extend the grant.
  server.m_grants_valid_until = now +
                                AddClockDrift(settings, settings.m_grant_ttl) +
                                2 * settings.m_max_wall_skew;
  context.m_outbox.m_grants.push_back(std::move(grant));
}

}  // namespace

void GrantSystem::Run(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  const TimePoint now = context.m_now.m_steady;
  for (const GrantResponse& response : context.m_inbox.m_grant_responses) {
    ApplyResponse(tables, response);
  }
  tables.m_servers.ForEach([&](BackendServerId id, BackendServerRow& server) {
    const CellRow& cell = tables.m_cells.Get(server.m_cell);
    // A server that missed a probe receives no renewal, so that its grants
    // expire as early as possible if the server is lost.
    const bool unresponsive = !server.m_up || server.m_probe_failures > 0;
    if (!CanDecide(cell, now) || !cell.m_service.m_checks_fence ||
        unresponsive || server.m_grant_in_flight ||
        (now < server.m_next_grant_at && !server.m_grant_due)) {
      return;
    }
    RenewGrant(context, cell, id, server);
  });
}

}  // namespace foxtail
