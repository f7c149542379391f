#include "traffic/dedup_registry.h"

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {

DedupRegistry::DedupRegistry(WallTime known_since, Duration retention)
    : m_known_since(known_since), m_id_retention(retention) {}

uint64_t DedupRegistry::HashOf(const RequestId& id) {
  return FastHash(id.m_text);
}

void DedupRegistry::Accept(const RequestId& id, bool fresh, WallTime now) {
  const uint64_t hash = HashOf(id);
  if (m_issued_times.contains(hash)) {
    throw Error(ErrorCode::kRequestDuplicate, id.m_text);
  }
  const auto oldest =
      now -
      std::chrono::duration_cast<std::chrono::milliseconds>(m_id_retention);
  if (!fresh && (id.m_issued < m_known_since || id.m_issued < oldest)) {
    throw Error(ErrorCode::kRequestUnverifiable, id.m_text);
  }
  m_issued_times.emplace(hash, id.m_issued);
}

void DedupRegistry::Forget(const RequestId& id) {
  m_issued_times.erase(HashOf(id));
}

void DedupRegistry::Expire(WallTime now) {
  const auto oldest =
      now -
      std::chrono::duration_cast<std::chrono::milliseconds>(m_id_retention);
  std::erase_if(m_issued_times,
                [&](const auto& entry) { return entry.second < oldest; });
}

PartitionMemory DedupRegistry::Export(PartitionNumber number) const {
  PartitionMemory state;
  state.m_number = number;
  state.m_known_since = m_known_since.time_since_epoch();
  for (const auto& [hash, issued] : m_issued_times) {
    state.m_seen.push_back({hash, issued.time_since_epoch()});
  }
  return state;
}

void DedupRegistry::Import(const PartitionMemory& state) {
  m_known_since = WallTime(state.m_known_since);
  for (const SeenRequest& seen : state.m_seen) {
    m_issued_times.emplace(seen.m_hash, WallTime(seen.m_issued));
  }
}

}  // namespace foxtail
