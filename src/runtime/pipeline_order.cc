#include "runtime/pipeline_order.h"

#include <cassert>

namespace foxtail {

PipelineOrder::PipelineOrder(size_t max_unanswered)
    : m_max_unanswered(max_unanswered) {
  assert(max_unanswered > 0);
}

bool PipelineOrder::CanRead() const {
  const bool blocked = m_last_is_unsafe && !IsIdle();
  return !m_reading_stopped && !blocked &&
         m_read - m_answered < m_max_unanswered;
}

PipelineOrder::Ticket PipelineOrder::OnRead(bool safe) {
  assert(CanRead());
  m_last_is_unsafe = !safe;
  return m_read++;
}

// Only the request read last can be unsafe.
bool PipelineOrder::CanStart(Ticket ticket) const {
  const bool is_unsafe = m_last_is_unsafe && ticket + 1 == m_read;
  return !is_unsafe || IsNext(ticket);
}

void PipelineOrder::OnAnswered(Ticket ticket) {
  assert(IsNext(ticket));
  ++m_answered;
}

}  // namespace foxtail
