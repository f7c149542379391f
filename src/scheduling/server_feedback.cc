#include "scheduling/server_feedback.h"

#include <algorithm>
#include <cassert>

#include "scheduling/server_window.h"

namespace foxtail {
namespace {

// Weight of a new report in the smoothed number of other senders' requests.
constexpr double kOtherRequestsGain = 0.3;

// Weight of a new permit in the smoothed transit time.
constexpr double kTransitGain = 0.1;

// A refusal multiplies the window by the first number; each response adds the
// second to it. 0.2 let a quarter of the requests fail at a server that others
// used half of.
constexpr double kRefusalFactor = 0.7;
constexpr double kRecoveryStep = 0.05;

// Pauses after failures double with each in a row, up to the maximum: it bounds
// the requests that are lost at a server that never responds, and the time
// after which a server that has come back is found.
constexpr std::chrono::milliseconds kFirstPause{50};
constexpr std::chrono::milliseconds kMaxPause{5000};
constexpr uint32_t kMaxDoublings = 8;

// The same for the owner of a key: no other server can run its requests, and a
// part of them may succeed.
constexpr std::chrono::milliseconds kMaxOwnerPause{250};

// Pause after a refusal if the time of a request is not known.
constexpr std::chrono::milliseconds kDefaultRefusalPause{50};

// An unanswered request counts as load for this many times the usual time of a
// request, at least for the minimum and at most until its deadline. By then,
// the server has finished it or does not work at all, for which it is probed.
constexpr double kUnansweredFactor = 4;
constexpr std::chrono::seconds kMinUnansweredTime{1};

}  // namespace

void ServerFeedback::Apply(PermitId id, const PermitReturn& returned) {
  const PermitRow& permit = m_tables.m_permits.Get(id);
  ScheduledServerRow* server = m_tables.m_servers.Find(permit.m_server);
  if (!server) {
    EndPermit(m_tables, id, m_now);
    return;
  }
  if (returned.m_end == PermitEnd::kRefused) {
    ++GetCounts(m_tables, server->m_service, permit.m_priority)
          .m_refused_by_server;
  }
  if (returned.m_load) {
    ApplyLoad(*server, *returned.m_load);
  }
  if (returned.m_end == PermitEnd::kResponded) {
    const double transit = std::max(
        0.0, ToSeconds(m_now - permit.m_granted_at - returned.m_latency));
    server->m_transit_seconds +=
        kTransitGain * (transit - server->m_transit_seconds);
  }
  (this->*FindLesson(returned.m_end))(*server, permit, returned);
  if (returned.m_pause > std::chrono::milliseconds(0)) {
    CloseFor(*server, returned.m_pause);
  }
  server->m_leaving = server->m_leaving || returned.m_leaving;
  if (returned.m_end == PermitEnd::kUnanswered) {
    KeepUnanswered(*server, id);
  } else {
    EndPermit(m_tables, id, m_now);
  }
}

ServerFeedback::Lesson ServerFeedback::FindLesson(PermitEnd end) {
  struct Row {
    PermitEnd m_end;
    Lesson m_lesson;
  };
  static constexpr Row kRows[] = {
      {PermitEnd::kNotUsed, &ServerFeedback::OnNotUsed},
      {PermitEnd::kResponded, &ServerFeedback::OnResponded},
      {PermitEnd::kServerError, &ServerFeedback::OnServerError},
      {PermitEnd::kRefused, &ServerFeedback::OnRefused},
      {PermitEnd::kMisdirected, &ServerFeedback::OnMisdirected},
      {PermitEnd::kUnreachable, &ServerFeedback::OnUnreachable},
      {PermitEnd::kUnanswered, &ServerFeedback::OnUnanswered},
  };
  for (const Row& row : kRows) {
    if (row.m_end == end) {
      return row.m_lesson;
    }
  }
  // A later version of a host may know further ends.
  return &ServerFeedback::OnNotUsed;
}

void ServerFeedback::OnNotUsed(ScheduledServerRow& /*server*/,
                               const PermitRow& /*permit*/,
                               const PermitReturn& /*returned*/) {}

void ServerFeedback::OnResponded(ScheduledServerRow& server,
                                 const PermitRow& /*permit*/,
                                 const PermitReturn& returned) {
  server.m_failures = 0;
  server.m_refusals = 0;
  server.m_errors.Add(false, m_now);
  server.m_speed.Add(returned.m_latency, returned.m_load, m_now);
  if (ServerGroupRow* group = m_tables.m_groups.Find(server.m_group)) {
    std::optional<LoadReport> load = returned.m_load;
    if (load) {
      load->m_slowdown.reset();
    }
    const double normal =
        ToSeconds(returned.m_latency) / server.m_speed.Slowdown(m_now);
    group->m_speed.Add(FromSeconds(normal), load, m_now);
  }
  if (server.m_limit > 0) {
    server.m_limit += kRecoveryStep;
    if (server.m_limit >= ServerWindow::FullSize(m_tables, server)) {
      server.m_limit = 0;
    }
  }
}

// The latency of an error is not that of the work: a server that fails at once
// would look like the fastest one and draw all requests.
void ServerFeedback::OnServerError(ScheduledServerRow& server,
                                   const PermitRow& /*permit*/,
                                   const PermitReturn& /*returned*/) {
  server.m_failures = 0;
  server.m_errors.Add(true, m_now);
}

// A server that refuses although it reports a free slot fails a part of its
// requests whatever their number: fewer of them would only idle its slots.
void ServerFeedback::OnRefused(ScheduledServerRow& server,
                               const PermitRow& permit,
                               const PermitReturn& returned) {
  server.m_failures = 0;
  server.m_errors.Add(true, m_now);
  if (returned.m_load && HasFreeSlot(server, *returned.m_load)) {
    return;
  }
  LowerLimit(server);
  // A slot is free after about the time of a request divided by the slots.
  const double seconds = ExpectedSeconds(m_tables, server, m_now) /
                         std::max(1U, server.m_entry.m_slots);
  const Duration pause =
      seconds > 0 ? FromSeconds(seconds) : Duration(kDefaultRefusalPause);
  CloseFor(server,
           std::min<Duration>(MaxPause(permit),
                              pause * (1U << std::min(server.m_refusals, 5U))));
  ++server.m_refusals;
}

// Another server at the address, or one that has lost keys, answers quickly and
// must not look fast.
void ServerFeedback::OnMisdirected(ScheduledServerRow& server,
                                   const PermitRow& /*permit*/,
                                   const PermitReturn& /*returned*/) {
  server.m_failures = 0;
  server.m_errors.Add(true, m_now);
}

// A full server may also reset the connection or not respond.
void ServerFeedback::OnUnanswered(ScheduledServerRow& server,
                                  const PermitRow& permit,
                                  const PermitReturn& returned) {
  if (permit.m_in_use > 1) {
    LowerLimit(server);
  }
  OnUnreachable(server, permit, returned);
}

void ServerFeedback::OnUnreachable(ScheduledServerRow& server,
                                   const PermitRow& permit,
                                   const PermitReturn& /*returned*/) {
  const uint32_t doublings = std::min(server.m_failures, kMaxDoublings);
  ++server.m_failures;
  server.m_errors.Add(true, m_now);
  CloseFor(server, std::min<Duration>(MaxPause(permit),
                                      kFirstPause * (1U << doublings)));
}

void ServerFeedback::ApplyLoad(ScheduledServerRow& server,
                               const LoadReport& load) {
  const double reported = load.m_running + load.m_waiting;
  const double permitted = ServerWindow(m_tables, server, m_now).InUse();
  const double others = std::max(0.0, reported - permitted);
  server.m_other_requests +=
      kOtherRequestsGain * (others - server.m_other_requests);
  server.m_reported_at = m_now;
  // More unanswered requests than the server has at all are not at the server.
  while (static_cast<double>(server.m_unanswered.size()) > reported) {
    EndPermit(m_tables, server.m_unanswered.front(), m_now);
  }
}

Duration ServerFeedback::MaxPause(const PermitRow& permit) {
  return permit.m_of_owner ? kMaxOwnerPause : kMaxPause;
}

bool ServerFeedback::HasFreeSlot(const ScheduledServerRow& server,
                                 const LoadReport& load) {
  return load.m_waiting == 0 &&
         load.m_running < std::max(1U, server.m_entry.m_slots);
}

void ServerFeedback::LowerLimit(ScheduledServerRow& server) {
  const double limit = server.m_limit > 0
                           ? server.m_limit
                           : std::max(1U, server.m_entry.m_slots);
  server.m_limit = std::max(1.0, limit * kRefusalFactor);
}

void ServerFeedback::CloseFor(ScheduledServerRow& server, Duration pause) {
  server.m_closed_until = std::max(server.m_closed_until, m_now + pause);
}

void ServerFeedback::KeepUnanswered(ScheduledServerRow& server, PermitId id) {
  PermitRow& permit = m_tables.m_permits.Get(id);
  const double seconds = server.m_speed.ExpectedSeconds(0, m_now);
  if (seconds > 0) {
    const Duration kept = std::max<Duration>(
        kMinUnansweredTime, FromSeconds(kUnansweredFactor * seconds));
    permit.m_deadline = std::min(permit.m_deadline, permit.m_granted_at + kept);
  }
  std::erase(server.m_active, id);
  server.m_unanswered.push_back(id);
  if (AskingHostRow* host = m_tables.m_hosts.Find(permit.m_host)) {
    EndTicket(*host, permit.m_ticket, {}, m_now);
  }
}

}  // namespace foxtail
