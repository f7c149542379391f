#include "scheduling/server_window.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

// One attempt without a response may be due to the network; several in a row
// are due to the server.
constexpr uint32_t kProbeAfterFailures = 2;

// Above this slowdown, a request in the server's queue waits too long to be
// worth keeping the slots busy.
constexpr double kSlowFactor = 2;

// No reserve replaces less than this part of an idle slot: it would only let a
// request wait at the server, where it keeps its place from more urgent ones.
constexpr double kMinIdleSlots = 0.2;

// Reports of other senders' requests are used for this long.
constexpr std::chrono::seconds kReportAge{2};

}  // namespace

uint32_t ServerWindow::Size() const {
  struct Rule {
    bool (ServerWindow::*m_applies)() const;
    double (ServerWindow::*m_size)() const;
  };
  // The first rule that applies holds.
  static constexpr Rule kRules[] = {
      {&ServerWindow::IsClosed, &ServerWindow::None},
      {&ServerWindow::IsProbed, &ServerWindow::One},
      {&ServerWindow::IsCold, &ServerWindow::HalfOfSlots},
      {&ServerWindow::IsSlow, &ServerWindow::SlotsOnly},
      {&ServerWindow::Always, &ServerWindow::SlotsAndReserve},
  };
  for (const Rule& rule : kRules) {
    if ((this->*rule.m_applies)()) {
      double size = (this->*rule.m_size)();
      if (size < 1) {
        return 0;
      }
      if (m_server.m_limit > 0) {
        size = std::min(size, m_server.m_limit);
      }
      if (m_now - m_server.m_reported_at <= kReportAge) {
        size -= std::round(m_server.m_other_requests);
      }
      return static_cast<uint32_t>(std::max(1.0, size));
    }
  }
  return 0;
}

bool ServerWindow::HasRoom() const {
  if (m_server.m_active.size() >= FullSize(m_tables, m_server)) {
    return false;  // spares the rules in the usual case of a busy server
  }
  // Unanswered attempts fill the window of a server that does not respond. The
  // pauses between probes bound the load instead.
  const uint32_t in_use =
      IsProbed() ? static_cast<uint32_t>(m_server.m_active.size()) : InUse();
  return in_use < Size();
}

uint32_t ServerWindow::InUse() const {
  return static_cast<uint32_t>(m_server.m_active.size() +
                               m_server.m_unanswered.size());
}

uint32_t ServerWindow::FullSize(const PermitTables& tables,
                                const ScheduledServerRow& server) {
  const uint32_t slots = std::max(1U, server.m_entry.m_slots);
  return slots + tables.m_settings.m_reserve * std::max(1U, slots / 2);
}

bool ServerWindow::IsClosed() const {
  return m_server.m_leaving || m_now < m_server.m_closed_until;
}

bool ServerWindow::IsProbed() const {
  return m_server.m_failures >= kProbeAfterFailures;
}

bool ServerWindow::IsCold() const {
  return m_now < m_server.m_entry.m_cold_until;
}

bool ServerWindow::IsSlow() const {
  return m_server.m_speed.Slowdown(m_now) > kSlowFactor;
}

double ServerWindow::HalfOfSlots() const {
  return std::max(1U, m_server.m_entry.m_slots / 2);
}

double ServerWindow::SlotsOnly() const {
  return std::max(1U, m_server.m_entry.m_slots);
}

// Between two requests, a slot waits for the response and the returned permit,
// then for the next permit and request: about twice the permit's transit. The
// reserve replaces the slots that are idle for this reason.
double ServerWindow::SlotsAndReserve() const {
  const double seconds = ExpectedSeconds(m_tables, m_server, m_now);
  if (seconds <= 0) {
    return SlotsOnly();
  }
  const double idle_slots =
      SlotsOnly() * 2 * m_server.m_transit_seconds / seconds;
  const double reserve = std::ceil(std::max(0.0, idle_slots - kMinIdleSlots));
  return std::min<double>(SlotsOnly() + reserve, FullSize(m_tables, m_server));
}

}  // namespace foxtail
