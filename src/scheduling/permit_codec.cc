#include "scheduling/permit_codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "core/digest.h"
#include "core/error.h"
#include "messages/archive_bytes.h"

namespace foxtail {

// cereal finds these functions by argument-dependent lookup, so they must be in
// the namespace of the serialised types.
template <typename Archive>
void serialize(Archive& archive, LoadReport& m) {  // NOLINT
  archive(m.m_running, m.m_waiting, m.m_slots, m.m_slowdown);
}

template <typename Archive>
void serialize(Archive& archive, PermitRequest& m) {  // NOLINT
  archive(m.m_ticket, m.m_service, m.m_server, m.m_data_centre, m.m_group,
          m.m_priority, m.m_time_left, m.m_target_left, m.m_returning,
          m.m_excluded);
}

template <typename Archive>
void serialize(Archive& archive, PermitDecision& m) {  // NOLINT
  archive(m.m_ticket, m.m_state, m.m_server, m.m_retry_after,
          m.m_expected_wait);
}

template <typename Archive>
void serialize(Archive& archive, PermitReturn& m) {  // NOLINT
  archive(m.m_ticket, m.m_end, m.m_latency, m.m_load, m.m_pause, m.m_leaving);
}

template <typename Archive>
void serialize(Archive& archive, HeldPermit& m) {  // NOLINT
  archive(m.m_ticket, m.m_server);
}

template <typename Archive>
void serialize(Archive& archive, PermitRequests& m) {  // NOLINT
  archive(m.m_address, m.m_incarnation, m.m_requests, m.m_returns, m.m_complete,
          m.m_last_ticket, m.m_held);
}

template <typename Archive>
void serialize(Archive& archive, PermitDecisions& m) {  // NOLINT
  archive(m.m_scheduler, m.m_decisions);
}

namespace {

constexpr uint8_t kRequestsTag = 1;
constexpr uint8_t kDecisionsTag = 2;

// A message ends with a hash of all bytes before it. A corrupt length field
// could cause an allocation of any size, so nothing is decoded before the hash
// has been verified.
constexpr size_t kHashBytes = sizeof(uint64_t);

std::string HashOf(std::string_view body) {
  const uint64_t hash = FastHash(body);
  return {reinterpret_cast<const char*>(&hash), kHashBytes};
}

}  // namespace

std::string EncodePermitMessage(const PermitMessage& message) {
  std::string body;
  if (const auto* requests = std::get_if<PermitRequests>(&message)) {
    body = ToArchive(kRequestsTag, *requests);
  } else {
    body = ToArchive(kDecisionsTag, std::get<PermitDecisions>(message));
  }
  return body + HashOf(body);
}

PermitMessage DecodePermitMessage(const std::string& bytes) {
  const size_t size = bytes.size() < kHashBytes ? 0 : bytes.size() - kHashBytes;
  const std::string body = bytes.substr(0, size);
  if (HashOf(body) != bytes.substr(size)) {
    throw Error(ErrorCode::kMessageMalformed, "hash");
  }
  PermitMessage message;
  FromArchive(body, [&message](auto& archive) {
    uint8_t tag = 0;
    archive(tag);
    if (tag == kRequestsTag) {
      archive(message.emplace<PermitRequests>());
    } else if (tag == kDecisionsTag) {
      archive(message.emplace<PermitDecisions>());
    } else {
      throw Error(ErrorCode::kMessageMalformed, "unknown kind");
    }
  });
  return message;
}

}  // namespace foxtail
