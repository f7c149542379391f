#include "scheduling/permit_client.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

bool IsFinal(PermitState state) {
  return state != PermitState::kQueued;
}

}  // namespace

PermitClient::PermitClient(const PermitClientSettings& settings,
                           std::string address,
                           std::string incarnation)
    : m_settings(settings),
      m_address(std::move(address)),
      m_incarnation(std::move(incarnation)) {}

SchedulerRow& PermitClient::GetScheduler(const std::string& address) {
  SchedulerRow& row = m_schedulers[address];
  row.m_address = address;
  return row;
}

bool PermitClient::IsAvoided(const std::string& address, TimePoint now) const {
  const auto found = m_schedulers.find(address);
  return found != m_schedulers.end() && now < found->second.m_avoided_until;
}

const std::string& PermitClient::SchedulerOf(
    const PendingPermitRow& row) const {
  return row.m_schedulers[row.m_current];
}

// Returns false if there is no scheduler left to ask.
bool PermitClient::AskCurrentOrNext(PendingPermitRow& row, TimePoint now) {
  while (row.m_current < row.m_schedulers.size() &&
         IsAvoided(SchedulerOf(row), now)) {
    ++row.m_current;
  }
  if (row.m_current == row.m_schedulers.size()) {
    row.m_decision.m_state = PermitState::kUnavailable;
    row.m_repeat_at.reset();
    return false;
  }
  SchedulerRow& scheduler = GetScheduler(SchedulerOf(row));
  if (++scheduler.m_open == 1 && !scheduler.m_list_due) {
    scheduler.m_next_list_at = now + m_settings.m_list_interval;
  }
  row.m_repeat_at = now;
  return true;
}

void PermitClient::LeaveScheduler(const PendingPermitRow& row) {
  SchedulerRow& scheduler = GetScheduler(SchedulerOf(row));
  assert(scheduler.m_open > 0);
  --scheduler.m_open;
  scheduler.m_list_due = true;
}

PermitTicket PermitClient::Ask(PermitRequest request,
                               TimePoint deadline,
                               TimePoint target_at,
                               std::vector<std::string> schedulers,
                               TimePoint now) {
  const PermitTicket ticket = ++m_last_ticket;
  request.m_ticket = ticket;
  PendingPermitRow row;
  row.m_request = std::move(request);
  row.m_deadline = deadline;
  row.m_target_at = target_at;
  row.m_schedulers = std::move(schedulers);
  row.m_decision.m_ticket = ticket;
  row.m_decision.m_state = PermitState::kQueued;
  AskCurrentOrNext(row, now);
  m_pending.emplace(ticket, std::move(row));
  return ticket;
}

const PermitDecision& PermitClient::GetDecision(PermitTicket ticket) const {
  return m_pending.at(ticket).m_decision;
}

void PermitClient::End(PermitTicket ticket, PermitReturn outcome) {
  const auto found = m_pending.find(ticket);
  assert(found != m_pending.end());
  const PendingPermitRow& row = found->second;
  if (row.m_current < row.m_schedulers.size()) {
    LeaveScheduler(row);
    const PermitState state = row.m_decision.m_state;
    if (state == PermitState::kGranted || state == PermitState::kQueued) {
      outcome.m_ticket = ticket;
      GetScheduler(SchedulerOf(row)).m_returns.push_back(outcome);
    }
  }
  m_pending.erase(found);
}

std::vector<PermitTicket> PermitClient::OnDecisions(
    const PermitDecisions& message,
    TimePoint now) {
  std::vector<PermitTicket> decided;
  SchedulerRow& scheduler = GetScheduler(message.m_scheduler);
  scheduler.m_unanswered_since.reset();
  scheduler.m_avoided_until = TimePoint();
  for (const PermitDecision& decision : message.m_decisions) {
    const auto found = m_pending.find(decision.m_ticket);
    if (found == m_pending.end()) {
      // The permit of a request that has ended meanwhile.
      if (decision.m_state == PermitState::kGranted) {
        PermitReturn unused;
        unused.m_ticket = decision.m_ticket;
        scheduler.m_returns.push_back(unused);
      }
      continue;
    }
    PendingPermitRow& row = found->second;
    if (IsFinal(row.m_decision.m_state) ||
        row.m_current >= row.m_schedulers.size() ||
        SchedulerOf(row) != message.m_scheduler) {
      continue;
    }
    row.m_repeat_at.reset();
    if (decision.m_state == PermitState::kUnavailable) {
      LeaveScheduler(row);
      ++row.m_current;
      if (!AskCurrentOrNext(row, now)) {
        decided.push_back(decision.m_ticket);
      }
      continue;
    }
    row.m_decision = decision;
    if (IsFinal(decision.m_state)) {
      decided.push_back(decision.m_ticket);
    }
  }
  return decided;
}

std::vector<PermitTicket> PermitClient::PassOverSilent(TimePoint now) {
  std::vector<PermitTicket> decided;
  for (auto& [address, scheduler] : m_schedulers) {
    if (!scheduler.m_unanswered_since ||
        now - *scheduler.m_unanswered_since < m_settings.m_silence_timeout) {
      continue;
    }
    scheduler.m_unanswered_since.reset();
    scheduler.m_avoided_until = now + m_settings.m_avoid_time;
    for (auto& [ticket, row] : m_pending) {
      if (row.m_decision.m_state != PermitState::kQueued ||
          row.m_current >= row.m_schedulers.size() ||
          SchedulerOf(row) != address) {
        continue;
      }
      LeaveScheduler(row);
      // A grant that is still on its way must not keep a slot.
      PermitReturn unused;
      unused.m_ticket = ticket;
      scheduler.m_returns.push_back(unused);
      ++row.m_current;
      if (!AskCurrentOrNext(row, now)) {
        decided.push_back(ticket);
      }
    }
  }
  return decided;
}

// A list of what is open goes with every message that is due because of its
// interval; requests that still wait are repeated in it, so that the scheduler
// answers and is known to be alive.
PermitRequests PermitClient::BuildMessage(SchedulerRow& scheduler,
                                          TimePoint now) {
  PermitRequests message;
  message.m_address = m_address;
  message.m_incarnation = m_incarnation;
  message.m_returns = std::exchange(scheduler.m_returns, {});
  message.m_last_ticket = m_last_ticket;
  message.m_complete = now >= scheduler.m_next_list_at &&
                       (scheduler.m_open > 0 || scheduler.m_list_due);
  for (auto& [ticket, row] : m_pending) {
    if (row.m_current >= row.m_schedulers.size() ||
        SchedulerOf(row) != scheduler.m_address) {
      continue;
    }
    const bool waiting = row.m_decision.m_state == PermitState::kQueued;
    if (waiting &&
        (message.m_complete || (row.m_repeat_at && now >= *row.m_repeat_at))) {
      row.m_request.m_time_left = ToMilliseconds(row.m_deadline - now);
      row.m_request.m_target_left = ToMilliseconds(row.m_target_at - now);
      message.m_requests.push_back(row.m_request);
      if (row.m_repeat_at) {
        row.m_repeat_at = now + m_settings.m_repeat_interval;
      }
    }
    if (message.m_complete) {
      message.m_held.push_back({ticket, row.m_decision.m_server});
    }
  }
  if (message.m_complete) {
    scheduler.m_list_due = false;
    scheduler.m_next_list_at = now + m_settings.m_list_interval;
  }
  if (!message.m_requests.empty() && !scheduler.m_unanswered_since) {
    scheduler.m_unanswered_since = now;
  }
  return message;
}

std::vector<AddressedRequests> PermitClient::CollectMessages(TimePoint now) {
  std::vector<AddressedRequests> due;
  std::set<std::string> repeats;
  for (const auto& [ticket, row] : m_pending) {
    if (row.m_repeat_at && now >= *row.m_repeat_at &&
        row.m_current < row.m_schedulers.size()) {
      repeats.insert(SchedulerOf(row));
    }
  }
  for (auto& [address, scheduler] : m_schedulers) {
    const bool list_due = now >= scheduler.m_next_list_at &&
                          (scheduler.m_open > 0 || scheduler.m_list_due);
    if (!scheduler.m_returns.empty() || list_due || repeats.contains(address)) {
      due.push_back({address, BuildMessage(scheduler, now)});
    }
  }
  std::erase_if(m_schedulers, [now](const auto& entry) {
    const SchedulerRow& row = entry.second;
    return row.m_open == 0 && !row.m_list_due && row.m_returns.empty() &&
           now >= row.m_avoided_until && !row.m_unanswered_since;
  });
  return due;
}

TimePoint PermitClient::FindNextDue() const {
  TimePoint next = TimePoint::max();
  for (const auto& [address, scheduler] : m_schedulers) {
    if (!scheduler.m_returns.empty()) {
      return TimePoint::min();
    }
    if (scheduler.m_open > 0 || scheduler.m_list_due) {
      next = std::min(next, scheduler.m_next_list_at);
    }
    if (scheduler.m_unanswered_since) {
      next = std::min(
          next, *scheduler.m_unanswered_since + m_settings.m_silence_timeout);
    }
  }
  for (const auto& [ticket, row] : m_pending) {
    if (row.m_repeat_at) {
      next = std::min(next, *row.m_repeat_at);
    }
  }
  return next;
}

}  // namespace foxtail
