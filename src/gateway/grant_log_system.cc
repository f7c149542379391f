#include "gateway/grant_log_system.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace foxtail {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Grants confirmed within this time are logged together. Each names its own
// time.
constexpr milliseconds kConfirmationSummaryPeriod{100};

// Interval between two lines about one server's failed calls with one outcome.
constexpr milliseconds kFailedCallsPeriod{5000};

// Interval between two lines about the ranges that a new leader has taken over,
// until all of them are confirmed or move.
constexpr milliseconds kTakeoverSummaryPeriod{1000};

// Limit on the ranges of a line. A line of so many has about 3 KB.
constexpr size_t kMaxRangesPerLine = 64;

struct NamedRange {
  std::string m_holder;
  KeyRange m_range;
  std::string m_details;
};

// Writes ranges as `holder:range,range holder:range`.
std::string JoinRanges(std::span<const NamedRange> ranges) {
  std::string text;
  const std::string* holder = nullptr;
  for (const NamedRange& range : ranges) {
    const bool same = holder && *holder == range.m_holder;
    text += same ? "," : (holder ? " " : "") + range.m_holder + ":";
    text += NameOf(range.m_range) + range.m_details;
    holder = &range.m_holder;
  }
  return text;
}

void SortRanges(std::vector<NamedRange>& ranges) {
  std::ranges::sort(ranges, {}, [](const NamedRange& range) {
    return std::tie(range.m_holder, range.m_range);
  });
}

void LogRanges(GatewayTables& tables,
               EventNumber event,
               const std::string& service,
               std::vector<NamedRange> ranges) {
  SortRanges(ranges);
  for (std::span<const NamedRange> left = ranges; !left.empty();) {
    const auto line = left.first(std::min(left.size(), kMaxRangesPerLine));
    tables.m_events.push_back({event,
                               {{"cell", service},
                                {"count", line.size()},
                                {"ranges", JoinRanges(line)}}});
    left = left.subspan(line.size());
  }
}

void LogConfirmedMoves(GatewayTables& tables, const Now& now) {
  TimePoint due = TimePoint::max();
  tables.m_confirmed_moves.ForEach(
      [&due](ConfirmedMoveId, const ConfirmedMoveRow& move) {
        due = std::min(due, move.m_confirmed_at + kConfirmationSummaryPeriod);
      });
  if (now.m_steady < due) {
    tables.WakeAt(due);
    return;
  }
  std::map<std::string, std::vector<NamedRange>> ranges;
  tables.m_confirmed_moves.ForEach([&](ConfirmedMoveId id,
                                       const ConfirmedMoveRow& move) {
    const auto elapsed = duration_cast<milliseconds>(move.m_elapsed);
    ranges[move.m_service].push_back({move.m_server, move.m_range,
                                      "@" + std::to_string(move.m_fence) + "+" +
                                          std::to_string(elapsed.count())});
    tables.m_confirmed_moves.Erase(id);
  });
  for (auto& [service, moved] : ranges) {
    LogRanges(tables, EventNumber::kPartitionsMoved, service, std::move(moved));
  }
}

std::vector<NamedRange> FindUnconfirmed(const GatewayTables& tables,
                                        ServiceId service) {
  std::vector<NamedRange> ranges;
  tables.m_ranges.ForEach([&](RangeId, const RangeRow& row) {
    if (row.m_service == service && row.m_taken_over &&
        row.m_phase != RangePhase::kStable) {
      ranges.push_back({row.m_owner, row.m_range, ""});
    }
  });
  SortRanges(ranges);
  return ranges;
}

void LogTakeover(GatewayTables& tables,
                 ServiceId id,
                 ServiceRow& service,
                 const Now& now) {
  TakeoverSummary& takeover = service.m_takeover;
  if (takeover.m_next_summary_at == TimePoint()) {
    return;
  }
  if (now.m_steady < takeover.m_next_summary_at) {
    tables.WakeAt(takeover.m_next_summary_at);
    return;
  }
  const std::vector<NamedRange> unconfirmed = FindUnconfirmed(tables, id);
  const std::span<const NamedRange> named(
      unconfirmed.begin(), std::min(unconfirmed.size(), kMaxRangesPerLine));
  tables.m_events.push_back(
      {EventNumber::kOwnersTakenOver,
       {{"cell", service.m_name},
        {"confirmed", takeover.m_confirmed},
        {"longest_ms", duration_cast<milliseconds>(takeover.m_longest).count()},
        {"unconfirmed", unconfirmed.size()},
        {"ranges", JoinRanges(named)}}});
  takeover.m_next_summary_at = now.m_steady + kTakeoverSummaryPeriod;
  if (unconfirmed.empty()) {
    takeover = TakeoverSummary();
  } else {
    tables.WakeAt(takeover.m_next_summary_at);
  }
}

void LogFailedCalls(GatewayTables& tables,
                    const FailedCall& first,
                    uint64_t calls) {
  tables.m_events.push_back({EventNumber::kOrderFailed,
                             {{"order", first.m_order},
                              {"server", first.m_server},
                              {"address", first.m_address},
                              {"incarnation", first.m_incarnation},
                              {"partition", NameOf(first.m_keys)},
                              {"epoch", first.m_fence},
                              {"outcome", NameOf(first.m_outcome)},
                              {"calls", calls}}});
}

void LogDueFailedCalls(GatewayTables& tables, const Now& now) {
  tables.m_failed_calls.ForEach([&](FailedCallsId id, FailedCallsRow& row) {
    if (now.m_steady < row.m_due_at) {
      tables.WakeAt(row.m_due_at);
      return;
    }
    if (row.m_calls == 0) {
      tables.m_failed_calls.Erase(id);
      return;
    }
    LogFailedCalls(tables, row.m_first, row.m_calls);
    row.m_calls = 0;
    row.m_due_at = now.m_steady + kFailedCallsPeriod;
    tables.WakeAt(row.m_due_at);
  });
}

bool IsAlike(const FailedCall& a, const FailedCall& b) {
  return std::tie(a.m_server, a.m_incarnation, a.m_address, a.m_order,
                  a.m_outcome) == std::tie(b.m_server, b.m_incarnation,
                                           b.m_address, b.m_order, b.m_outcome);
}

}  // namespace

void GrantLogSystem::Run(GatewayTables& tables, const Now& now) {
  if (tables.m_confirmed_moves.size() > 0) {
    LogConfirmedMoves(tables, now);
  }
  LogDueFailedCalls(tables, now);
  tables.m_services.ForEach([&](ServiceId id, ServiceRow& service) {
    LogTakeover(tables, id, service, now);
  });
}

void GrantLogSystem::OnMovesStarted(GatewayTables& tables,
                                    const std::string& service,
                                    const std::vector<StartedMove>& moves) {
  std::vector<NamedRange> ranges;
  for (const StartedMove& move : moves) {
    ranges.push_back({move.m_from + ">" + move.m_to, move.m_range, ""});
  }
  LogRanges(tables, EventNumber::kPartitionsMoving, service, std::move(ranges));
}

void GrantLogSystem::OnTakeoverStarted(ServiceRow& service, const Now& now) {
  service.m_takeover = {now.m_steady + kTakeoverSummaryPeriod};
}

void GrantLogSystem::OnGrantConfirmed(GatewayTables& tables,
                                      const RangeRow& row,
                                      const Now& now) {
  ServiceRow& service = tables.m_services.Get(row.m_service);
  const Duration elapsed = now.m_steady - row.m_move_started_at;
  if (row.m_taken_over) {
    ++service.m_takeover.m_confirmed;
    service.m_takeover.m_longest =
        std::max(service.m_takeover.m_longest, elapsed);
    return;
  }
  tables.m_confirmed_moves.Insert({service.m_name, row.m_owner, row.m_range,
                                   row.m_fence, elapsed, now.m_steady});
}

void GrantLogSystem::OnCallFailed(GatewayTables& tables,
                                  const FailedCall& call,
                                  const Now& now) {
  const FailedCallsId id =
      tables.m_failed_calls.FindIf([&call](const FailedCallsRow& row) {
        return IsAlike(row.m_first, call);
      });
  if (!id.IsValid()) {
    LogFailedCalls(tables, call, 1);
    tables.m_failed_calls.Insert({call, 0, now.m_steady + kFailedCallsPeriod});
    return;
  }
  FailedCallsRow& row = tables.m_failed_calls.Get(id);
  if (row.m_calls++ == 0) {
    row.m_first = call;
  }
}

}  // namespace foxtail
