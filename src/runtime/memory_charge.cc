#include "runtime/memory_charge.h"

namespace foxtail {

bool MemoryCharge::TryResize(uint64_t bytes) {
  if (m_account && bytes > m_bytes &&
      !m_account->TryHold(m_id, bytes - m_bytes, Clock::now())) {
    return false;
  }
  if (m_account && bytes < m_bytes) {
    m_account->Release(m_id, m_bytes - bytes);
  }
  m_bytes = bytes;
  return true;
}

void MemoryCharge::Resize(uint64_t bytes) {
  if (m_account && bytes > m_bytes) {
    m_account->Hold(m_id, bytes - m_bytes, Clock::now());
  } else if (m_account && bytes < m_bytes) {
    m_account->Release(m_id, m_bytes - bytes);
  }
  m_bytes = bytes;
}

bool MemoryCharge::CanResize(uint64_t bytes) const {
  return !m_account || bytes <= m_bytes ||
         m_account->CanHold(m_id, bytes - m_bytes, Clock::now());
}

}  // namespace foxtail
