#include "gateway/cluster_codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include "core/digest.h"
#include "core/error.h"
#include "gateway/packed_owners.h"
#include "messages/archive_bytes.h"
#include "messages/token_archive.h"

namespace foxtail {

// cereal finds these functions by argument-dependent lookup, so they must be in
// the namespace of the serialised types.
template <typename Archive>
void serialize(Archive& archive, KeyRange& m) {  // NOLINT
  archive(m.m_first, m.m_last);
}

template <typename Archive>
void serialize(Archive& archive, MemberRecord& m) {  // NOLINT
  archive(m.m_address, m.m_incarnation, m.m_data_centre, m.m_processor_share,
          m.m_scheduling_address, m.m_configuration);
}

template <typename Archive>
void serialize(Archive& archive, LeaderLeaseRecord& m) {  // NOLINT
  archive(m.m_address, m.m_incarnation, m.m_epoch, m.m_renewals, m.m_released);
}

template <typename Archive>
void serialize(Archive& archive, PackedServer& m) {  // NOLINT
  archive(m.m_id, m.m_incarnation);
}

template <typename Archive>
void serialize(Archive& archive, PackedRange& m) {  // NOLINT
  archive(m.m_first, m.m_last, m.m_server, m.m_grant_confirmed);
}

template <typename Archive>
void serialize(Archive& archive, PackedPreviousOwner& m) {  // NOLINT
  archive(m.m_range, m.m_owner.m_server, m.m_owner.m_has_late_grant);
}

template <typename Archive>
void serialize(Archive& archive, PackedOwners& m) {  // NOLINT
  archive(m.m_epoch, m.m_number, m.m_servers, m.m_ranges, m.m_previous_owners);
}

template <typename Archive>
void serialize(Archive& archive, SliceLoad& m) {  // NOLINT
  archive(m.m_slice, m.m_requests);
}

template <typename Archive>
void serialize(Archive& archive, ServiceLoad& m) {  // NOLINT
  archive(m.m_service, m.m_slices);
}

template <typename Archive>
void serialize(Archive& archive, ServerSpeed& m) {  // NOLINT
  archive(m.m_server, m.m_responses, m.m_seconds, m.m_slowdown);
}

template <typename Archive>
void serialize(Archive& archive, MemberReport& m) {  // NOLINT
  archive(m.m_address, m.m_incarnation, m.m_sequence, m.m_sent_at, m.m_members,
          m.m_store_answer_age_ms, m.m_configuration, m.m_operator_rows_version,
          m.m_demands, m.m_loads, m.m_speeds);
}

template <typename Archive>
void serialize(Archive& archive, StoredRow& m) {  // NOLINT
  archive(m.m_key, m.m_value, m.m_version, m.m_removed);
}

template <typename Archive>
void serialize(Archive& archive, OwnersChange& m) {  // NOLINT
  archive(m.m_service, m.m_row_version, m.m_base_number, m.m_removed, m.m_added,
          m.m_digest);
}

template <typename Archive>
void serialize(Archive& archive, RelayedRows& m) {  // NOLINT
  archive(m.m_epoch, m.m_kind, m.m_from_version, m.m_to_version, m.m_rows,
          m.m_age_ms, m.m_owners_changes, m.m_followers);
}

template <typename Archive>
void serialize(Archive& archive, LeaderAnnouncement& m) {  // NOLINT
  archive(m.m_address, m.m_epoch, m.m_leader_lease_version);
}

template <typename Archive>
void serialize(Archive& archive, LeavingServer& m) {  // NOLINT
  archive(m.m_id, m.m_incarnation);
}

template <typename Archive>
void serialize(Archive& archive, LeavingServersNotice& m) {  // NOLINT
  archive(m.m_servers);
}

template <typename Archive>
void serialize(Archive& archive, ReportResponse& m) {  // NOLINT
  archive(m.m_address, m.m_epoch, m.m_sequence, m.m_report_sent_at,
          m.m_leader_lease_version, m.m_shutting_down, m.m_relaying,
          m.m_refused, m.m_store_reachable_for_ms, m.m_last_change_versions,
          m.m_configuration, m.m_operator_read_age_ms, m.m_complete_ages_ms,
          m.m_tokens.m_token_ttl, m.m_tokens.m_grants);
}

template <typename Archive>
void serialize(Archive& archive, RolloutRecord& m) {  // NOLINT
  archive(m.m_service, m.m_target, m.m_order, m.m_state, m.m_step, m.m_share,
          m.m_ordered_at_ms, m.m_requests, m.m_target_requests, m.m_last_repeat,
          m.m_rejected);
}

// Most classes are empty, so only the others are sent.
template <typename Archive>
void save(Archive& archive, const VersionCounts& m) {  // NOLINT
  std::vector<std::pair<uint8_t, uint32_t>> classes;
  for (size_t i = 0; i < kLatencyClasses; ++i) {
    if (m.m_latencies[i] > 0) {
      classes.emplace_back(static_cast<uint8_t>(i), m.m_latencies[i]);
    }
  }
  archive(m.m_ended, m.m_failed, classes);
}

template <typename Archive>
void load(Archive& archive, VersionCounts& m) {  // NOLINT
  std::vector<std::pair<uint8_t, uint32_t>> classes;
  archive(m.m_ended, m.m_failed, classes);
  for (const auto& [latency_class, count] : classes) {
    if (latency_class >= kLatencyClasses) {
      throw Error(ErrorCode::kMessageMalformed, "class of latency");
    }
    m.m_latencies[latency_class] = count;
  }
}

template <typename Archive>
void serialize(Archive& archive, RouteCounts& m) {  // NOLINT
  archive(m.m_route, m.m_target, m.m_others);
}

template <typename Archive>
void serialize(Archive& archive, RolloutCounts& m) {  // NOLINT
  archive(m.m_service, m.m_order, m.m_step, m.m_requests, m.m_target_requests,
          m.m_others_in_flight, m.m_routes);
}

template <typename Archive>
void serialize(Archive& archive, RolloutReport& m) {  // NOLINT
  archive(m.m_address, m.m_incarnation, m.m_sequence, m.m_counts);
}

template <typename Archive>
void serialize(Archive& archive, RolloutNotice& m) {  // NOLINT
  archive(m.m_epoch, m.m_records);
}

template <typename Archive>
void serialize(Archive& archive, PastServer& m) {  // NOLINT
  archive(m.m_id, m.m_incarnation, m.m_draining);
}

template <typename Archive>
void serialize(Archive& archive, HistoryRequest& m) {  // NOLINT
  archive(m.m_address, m.m_era_version);
}

template <typename Archive>
void serialize(Archive& archive, HistoryResponse& m) {  // NOLINT
  archive(m.m_era_version, m.m_configuration, m.m_complete, m.m_copy_versions,
          m.m_operator_rows_kept_ms, m.m_kept_evacuations, m.m_past_servers);
}

namespace {

// 1 and 2 were the tags of reports and responses without the versions of the
// configuration.
constexpr uint8_t kReportTag = 10;
constexpr uint8_t kReportResponseTag = 11;
// 3, 6 and 7 were the tags of relayed rows without changes of owners records,
// without the late grants of previous owners, and without their age.
constexpr uint8_t kRelayedRowsTag = 14;
constexpr uint8_t kLeaderAnnouncementTag = 4;
constexpr uint8_t kLeavingServersTag = 5;
constexpr uint8_t kRolloutReportTag = 8;
constexpr uint8_t kRolloutNoticeTag = 9;
constexpr uint8_t kHistoryRequestTag = 12;
constexpr uint8_t kHistoryResponseTag = 13;

// An encoded record or message ends with a hash of all bytes before it.
constexpr size_t kHashBytes = sizeof(uint64_t);

std::string HashOf(std::string_view body) {
  const uint64_t hash = FastHash(body);
  return {reinterpret_cast<const char*>(&hash), kHashBytes};
}

template <typename... Parts>
std::string Encode(const Parts&... parts) {
  const std::string body = ToArchive(parts...);
  return body + HashOf(body);
}

// A corrupt length field could cause an allocation of any size, so nothing is
// decoded before the hash has been verified.
template <typename Body>
void DecodeWith(const std::string& bytes, Body body) {
  const size_t size = bytes.size() < kHashBytes ? 0 : bytes.size() - kHashBytes;
  const std::string content = bytes.substr(0, size);
  if (HashOf(content) != bytes.substr(size)) {
    throw Error(ErrorCode::kMessageMalformed, "hash");
  }
  FromArchive(content, body);
}

template <typename Record>
Record Decode(const std::string& bytes) {
  Record record;
  DecodeWith(bytes, [&record](auto& archive) { archive(record); });
  return record;
}

}  // namespace

std::string EncodeRecord(const MemberRecord& record) {
  return Encode(record);
}

std::string EncodeRecord(const LeaderLeaseRecord& record) {
  return Encode(record);
}

std::string EncodeRecord(const OwnersRecord& record) {
  return Encode(Pack(record));
}

std::string EncodeRecord(const RolloutRecord& record) {
  return Encode(record);
}

std::string EncodeMessage(const ClusterMessage& message) {
  if (const auto* report = std::get_if<MemberReport>(&message)) {
    return Encode(kReportTag, *report);
  }
  if (const auto* relayed = std::get_if<RelayedRows>(&message)) {
    return Encode(kRelayedRowsTag, *relayed);
  }
  if (const auto* announcement = std::get_if<LeaderAnnouncement>(&message)) {
    return Encode(kLeaderAnnouncementTag, *announcement);
  }
  if (const auto* leaving = std::get_if<LeavingServersNotice>(&message)) {
    return Encode(kLeavingServersTag, *leaving);
  }
  if (const auto* report = std::get_if<RolloutReport>(&message)) {
    return Encode(kRolloutReportTag, *report);
  }
  if (const auto* notice = std::get_if<RolloutNotice>(&message)) {
    return Encode(kRolloutNoticeTag, *notice);
  }
  if (const auto* request = std::get_if<HistoryRequest>(&message)) {
    return Encode(kHistoryRequestTag, *request);
  }
  if (const auto* response = std::get_if<HistoryResponse>(&message)) {
    return Encode(kHistoryResponseTag, *response);
  }
  return Encode(kReportResponseTag, std::get<ReportResponse>(message));
}

MemberRecord DecodeMemberRecord(const std::string& bytes) {
  return Decode<MemberRecord>(bytes);
}

LeaderLeaseRecord DecodeLeaderLeaseRecord(const std::string& bytes) {
  return Decode<LeaderLeaseRecord>(bytes);
}

OwnersRecord DecodeOwnersRecord(const std::string& bytes) {
  return Unpack(Decode<PackedOwners>(bytes));
}

RolloutRecord DecodeRolloutRecord(const std::string& bytes) {
  RolloutRecord record = Decode<RolloutRecord>(bytes);
  if (record.m_state > RolloutState::kRolledBack ||
      !(record.m_share >= 0 && record.m_share <= 1)) {
    throw Error(ErrorCode::kMessageMalformed, "rollout");
  }
  return record;
}

ClusterMessage DecodeClusterMessage(const std::string& bytes) {
  ClusterMessage message;
  DecodeWith(bytes, [&message](auto& archive) {
    uint8_t tag = 0;
    archive(tag);
    if (tag == kReportTag) {
      archive(message.emplace<MemberReport>());
    } else if (tag == kReportResponseTag) {
      archive(message.emplace<ReportResponse>());
    } else if (tag == kRelayedRowsTag) {
      archive(message.emplace<RelayedRows>());
    } else if (tag == kLeaderAnnouncementTag) {
      archive(message.emplace<LeaderAnnouncement>());
    } else if (tag == kLeavingServersTag) {
      archive(message.emplace<LeavingServersNotice>());
    } else if (tag == kRolloutReportTag) {
      archive(message.emplace<RolloutReport>());
    } else if (tag == kRolloutNoticeTag) {
      archive(message.emplace<RolloutNotice>());
    } else if (tag == kHistoryRequestTag) {
      archive(message.emplace<HistoryRequest>());
    } else if (tag == kHistoryResponseTag) {
      archive(message.emplace<HistoryResponse>());
    } else {
      throw Error(ErrorCode::kMessageMalformed, "unknown kind");
    }
  });
  return message;
}

}  // namespace foxtail
