#include "messages/codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/memory.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "messages/archive_bytes.h"
#include "messages/token_archive.h"

namespace foxtail {

// cereal finds these functions by argument-dependent lookup, so they are in the
// namespace of the messages.
template <typename Archive>
void serialize(Archive& archive, DispatcherIdentity& m) {  // NOLINT
  archive(m.m_address, m.m_incarnation);
}

template <typename Archive>
void serialize(Archive& archive, ServerObservation& m) {  // NOLINT
  archive(m.m_server, m.m_in_flight, m.m_queued, m.m_responses,
          m.m_connection_failures);
}

template <typename Archive>
void serialize(Archive& archive, DrainingPartition& m) {  // NOLINT
  archive(m.m_number, m.m_epoch);
}

template <typename Archive>
void serialize(Archive& archive, AcceptedRequest& m) {  // NOLINT
  archive(m.m_hash, m.m_issued_at);
}

template <typename Archive>
void serialize(Archive& archive, PartitionDedupState& m) {  // NOLINT
  archive(m.m_number, m.m_complete_since, m.m_accepted);
}

template <typename Archive>
void serialize(Archive& archive, CrashSuspect& m) {  // NOLINT
  archive(m.m_fingerprint, m.m_shared_crashes, m.m_solo_crashes, m.m_cleared);
}

template <typename Archive>
void serialize(Archive& archive, PartitionLoad& m) {  // NOLINT
  archive(m.m_number, m.m_requests);
}

template <typename Archive>
void serialize(Archive& archive, SyncRequest& m) {  // NOLINT
  archive(m.m_cell, m.m_dispatcher, m.m_data_centre, m.m_control_epoch,
          m.m_routes_version, m.m_config_version, m.m_applied_number,
          m.m_leased_servers, m.m_draining_servers, m.m_draining_partitions,
          m.m_dedup_states, m.m_observations, m.m_suspects, m.m_loads,
          m.m_shutting_down);
}

template <typename Archive>
void serialize(Archive& archive, RouteConfig& m) {  // NOLINT
  archive(m.m_method, m.m_path, m.m_idempotent);
}

template <typename Archive>
void serialize(Archive& archive, PinnedKeyConfig& m) {  // NOLINT
  archive(m.m_key, m.m_server);
}

// Servers are sent as `RouteServer`, so they are omitted here.
template <typename Archive>
void serialize(Archive& archive, ServiceConfig& m) {  // NOLINT
  archive(m.m_name, m.m_partitions, m.m_open, m.m_checks_fence,
          m.m_max_deadline, m.m_routes, m.m_pinned_keys);
}

template <typename Archive>
void serialize(Archive& archive, RouteServer& m) {  // NOLINT
  archive(m.m_name, m.m_address, m.m_slots, m.m_queue, m.m_dispatcher);
}

template <typename Archive>
void serialize(Archive& archive, RoutePartition& m) {  // NOLINT
  archive(m.m_number, m.m_server, m.m_epoch, m.m_paused);
}

template <typename Archive>
void serialize(Archive& archive, CellRoutes& m) {  // NOLINT
  archive(m.m_control_epoch, m.m_version, m.m_service, m.m_servers,
          m.m_partitions, m.m_suspects, m.m_quarantined);
}

template <typename Archive>
void serialize(Archive& archive, ApiKeyConfig& m) {  // NOLINT
  archive(m.m_name, m.m_digest);
}

template <typename Archive>
void serialize(Archive& archive, WorkspaceConfig& m) {  // NOLINT
  archive(m.m_name, m.m_rate, m.m_burst, m.m_weight, m.m_services,
          m.m_api_keys);
}

template <typename Archive>
void serialize(Archive& archive, AccessView& m) {  // NOLINT
  archive(m.m_control_epoch, m.m_version, m.m_workspaces, m.m_services);
}

template <typename Archive, typename Object>
void SerializeOptional(Archive& archive,
                       std::shared_ptr<const Object>& object) {
  bool present = object != nullptr;
  archive(present);
  if (!present) {
    object.reset();
    return;
  }
  if constexpr (Archive::is_loading::value) {
    auto loaded = std::make_shared<Object>();
    archive(*loaded);
    object = std::move(loaded);
  } else {
    archive(const_cast<Object&>(*object));
  }
}

template <typename Archive>
void serialize(Archive& archive, SyncResponse& m) {  // NOLINT
  archive(m.m_status, m.m_controller, m.m_control_epoch, m.m_config_version,
          m.m_number, m.m_authority_ttl, m.m_pending_for, m.m_lease_ttl,
          m.m_leased_servers, m.m_dedup_states);
  SerializeOptional(archive, m.m_routes);
  SerializeOptional(archive, m.m_access);
}

template <typename Archive>
void serialize(Archive& archive, TokenRequest& m) {  // NOLINT
  archive(m.m_dispatcher, m.m_demands);
}

template <typename Archive>
void serialize(Archive& archive, TokenResponse& m) {  // NOLINT
  archive(m.m_status, m.m_controller, m.m_token_ttl, m.m_grants);
}

namespace {

template <typename Message>
void Decode(const std::string& bytes, Message& message) {
  FromArchive(bytes, [&message](auto& archive) { archive(message); });
}

}  // namespace

std::string EncodeMessage(const SyncRequest& message) {
  return ToArchive(message);
}

std::string EncodeMessage(const SyncResponse& message) {
  return ToArchive(message);
}

std::string EncodeMessage(const TokenRequest& message) {
  return ToArchive(message);
}

std::string EncodeMessage(const TokenResponse& message) {
  return ToArchive(message);
}

void DecodeMessage(const std::string& bytes, SyncRequest& message) {
  Decode(bytes, message);
}

void DecodeMessage(const std::string& bytes, SyncResponse& message) {
  Decode(bytes, message);
}

void DecodeMessage(const std::string& bytes, TokenRequest& message) {
  Decode(bytes, message);
}

void DecodeMessage(const std::string& bytes, TokenResponse& message) {
  Decode(bytes, message);
}

}  // namespace foxtail
