#include "traffic/dedup_registry.h"

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {

DedupRegistry::DedupRegistry(WallTime complete_since, Duration id_retention)
    : m_complete_since(complete_since), m_id_retention(id_retention) {}

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
  if (!fresh &&
      (id.m_issued_at < m_complete_since || id.m_issued_at < oldest)) {
    throw Error(ErrorCode::kRequestUnverifiable, id.m_text);
  }
  m_issued_times.emplace(hash, id.m_issued_at);
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

PartitionDedupState DedupRegistry::Export(PartitionNumber number) const {
  PartitionDedupState state;
  state.m_number = number;
  state.m_complete_since = m_complete_since.time_since_epoch();
  for (const auto& [hash, issued] : m_issued_times) {
    state.m_accepted.push_back({hash, issued.time_since_epoch()});
  }
  return state;
}

void DedupRegistry::Import(const PartitionDedupState& state) {
  m_complete_since = WallTime(state.m_complete_since);
  for (const AcceptedRequest& accepted : state.m_accepted) {
    m_issued_times.emplace(accepted.m_hash, WallTime(accepted.m_issued_at));
  }
}

}  // namespace foxtail
