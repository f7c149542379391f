#include "traffic/seen_registry.h"

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {

SeenRegistry::SeenRegistry(WallTime known_since, Duration retention)
    : m_complete_since(known_since), m_retention(retention) {}

uint64_t SeenRegistry::HashOf(const RequestId& id) {
  return FastHash(id.m_text);
}

void SeenRegistry::Accept(const RequestId& id, bool fresh, WallTime now) {
  const uint64_t hash = HashOf(id);
  if (m_issued_at.contains(hash)) {
    throw Error(ErrorCode::kRequestDuplicate, id.m_text);
  }
  const auto oldest =
      now - std::chrono::duration_cast<std::chrono::milliseconds>(m_retention);
  if (!fresh &&
      (id.m_issued_at < m_complete_since || id.m_issued_at < oldest)) {
    throw Error(ErrorCode::kRequestUnverifiable, id.m_text);
  }
  m_issued_at.emplace(hash, id.m_issued_at);
}

void SeenRegistry::Forget(const RequestId& id) {
  m_issued_at.erase(HashOf(id));
}

void SeenRegistry::Expire(WallTime now) {
  const auto oldest =
      now - std::chrono::duration_cast<std::chrono::milliseconds>(m_retention);
  std::erase_if(m_issued_at,
                [&](const auto& entry) { return entry.second < oldest; });
}

PartitionDedupState SeenRegistry::Export(PartitionNumber number) const {
  PartitionDedupState memory;
  memory.m_number = number;
  memory.m_complete_since = m_complete_since.time_since_epoch();
  for (const auto& [hash, issued] : m_issued_at) {
    memory.m_accepted.push_back({hash, issued.time_since_epoch()});
  }
  return memory;
}

void SeenRegistry::Import(const PartitionDedupState& memory) {
  m_complete_since = WallTime(memory.m_complete_since);
  for (const AcceptedRequest& seen : memory.m_accepted) {
    m_issued_at.emplace(seen.m_hash, WallTime(seen.m_issued_at));
  }
}

}  // namespace foxtail
