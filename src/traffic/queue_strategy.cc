#include "traffic/queue_strategy.h"

#include <algorithm>

namespace foxtail {

void FifoQueue::Push(TicketNumber ticket, const std::string&, uint32_t) {
  m_tickets.push_back(ticket);
}

std::optional<TicketNumber> FifoQueue::Pop() {
  if (m_tickets.empty()) {
    return std::nullopt;
  }
  const TicketNumber ticket = m_tickets.front();
  m_tickets.pop_front();
  return ticket;
}

void FifoQueue::Remove(TicketNumber ticket) {
  std::erase(m_tickets, ticket);
}

void FairQueue::Push(TicketNumber ticket,
                     const std::string& workspace,
                     uint32_t weight) {
  double& finish = m_finish_times[workspace];
  const double start = std::max(m_virtual_time, finish);
  finish = start + 1.0 / weight;
  m_waiting.emplace(SortKey{start, ticket}, workspace);
}

std::optional<TicketNumber> FairQueue::Pop() {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const auto first = m_waiting.begin();
  const TicketNumber ticket = first->first.m_ticket;
  m_virtual_time = first->first.m_start;
  m_waiting.erase(first);
  if (m_waiting.empty()) {
    // An empty queue starts over: past use gives no workspace a disadvantage.
    m_finish_times.clear();
    m_virtual_time = 0;
  }
  return ticket;
}

void FairQueue::Remove(TicketNumber ticket) {
  std::erase_if(m_waiting, [&](const auto& entry) {
    return entry.first.m_ticket == ticket;
  });
}

}  // namespace foxtail
