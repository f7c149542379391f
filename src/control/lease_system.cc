#include "control/lease_system.h"

#include <algorithm>

#include "control/standby_choice.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// A process that is not the first choice for a vacant cell lets the others
// try first, so that cells spread over the hosts.
constexpr milliseconds kRankDelay{150};
constexpr milliseconds kFirstLook{1000};
constexpr milliseconds kRetryDelay{50};

// A read that takes longer counts as unanswered when a promise is asked for.
constexpr milliseconds kReadPatience{100};

RowKey KeyOf(const CellRow& cell) {
  return {"lease", cell.m_name};
}

bool IsStandby(const LeaseRecord& record, const ControlProcess& self) {
  return std::ranges::find(record.m_standbys, self) != record.m_standbys.end();
}

// Decisions about one cell's lease in one tick.
class CellLease {
 public:
  CellLease(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_settings(context.m_tables.m_settings),
        m_now(context.m_now.m_steady),
        m_id(id),
        m_cell(cell),
        m_lease(cell.m_lease) {}

  void OnRead(const RowAnswer& answer) {
    m_lease.m_busy = false;
    m_lease.m_platform_answers =
        answer.m_result.m_outcome != RowOutcome::kNoResponse;
    if (!m_lease.m_platform_answers) {
      m_lease.m_next_operation = m_now + kRetryDelay;
      return;
    }
    NoteRow(answer);
    if (m_lease.m_phase == LeasePhase::kTaking && m_lease.m_uncertain) {
      ResolveTaking();
    } else if (m_lease.m_phase == LeasePhase::kHolding ||
               m_lease.m_phase == LeasePhase::kReleasing) {
      ResolveHolding();
    }
  }

  void OnWritten(const RowAnswer& answer) {
    m_lease.m_busy = false;
    if (answer.m_result.m_outcome == RowOutcome::kNoResponse) {
      m_lease.m_uncertain = true;
      m_lease.m_platform_answers = false;
      m_lease.m_next_operation = m_now + kRetryDelay;
      return;
    }
    m_lease.m_platform_answers = true;
    if (answer.m_result.m_outcome == RowOutcome::kVersionMismatch) {
      // Either another process was first or an earlier write of ours that went
      // unanswered took effect; the row tells.
      m_lease.m_uncertain = true;
      m_lease.m_next_operation = m_now;
      return;
    }
    m_lease.m_row_version = answer.m_result.m_version;
    m_lease.m_record = m_lease.m_pending;
    m_lease.m_unchanged_since = m_now;
    Confirmed();
  }

  void OnPromise(const PromiseAnswer& answer) {
    const auto standby = m_lease.m_promises.find(answer.m_standby);
    if (!answer.m_given || m_lease.m_phase != LeasePhase::kHolding ||
        answer.m_epoch != m_lease.m_record.m_epoch ||
        standby == m_lease.m_promises.end()) {
      return;
    }
    // The standby counts from when it answered, which is later.
    const Duration life = m_settings.m_promise;
    standby->second =
        std::max(standby->second,
                 answer.m_sent + std::chrono::duration_cast<Duration>(
                                     life * (1.0 - m_settings.m_clock_drift)));
    Extend();
  }

  // A standby gives a promise only while it cannot read the platform itself and
  // has no takeover under way, which might still take effect.
  void OnPromiseAsked(const PromiseAsked& asked) {
    const bool read_late =
        m_lease.m_busy && m_now - m_lease.m_read_sent > kReadPatience;
    const bool given = m_lease.m_phase == LeasePhase::kWatching &&
                       (!m_lease.m_platform_answers || read_late) &&
                       m_lease.m_row_known &&
                       m_lease.m_record.m_holder == asked.m_holder &&
                       m_lease.m_record.m_epoch == asked.m_epoch;
    if (given) {
      m_lease.m_promised_until =
          std::max(m_lease.m_promised_until,
                   m_now + WithDrift(m_settings, m_settings.m_promise));
      Note(EventNumber::kPromiseGiven,
           {{"cell", m_cell.m_name}, {"holder", asked.m_holder.m_address}});
    }
    m_context.m_outbox.m_promise_answers.push_back({asked.m_handle, given});
  }

  void Advance() {
    using Step = void (CellLease::*)();
    constexpr Step kSteps[] = {&CellLease::Watch, &CellLease::Take,
                               &CellLease::Hold, &CellLease::Release};
    (this->*kSteps[static_cast<size_t>(m_lease.m_phase)])();
  }

 private:
  void NoteRow(const RowAnswer& answer) {
    const bool missing =
        answer.m_result.m_outcome == RowOutcome::kVersionMismatch;
    const uint64_t version = missing ? 0 : answer.m_result.m_version;
    if (m_lease.m_row_known && version == m_lease.m_row_version) {
      return;
    }
    m_lease.m_row_known = true;
    m_lease.m_row_version = version;
    m_lease.m_unchanged_since = m_now;
    const auto* record = std::get_if<LeaseRecord>(&answer.m_result.m_value);
    m_lease.m_record = record ? *record : LeaseRecord();
  }

  bool RowIsOurs() const {
    return m_lease.m_row_version != 0 &&
           m_lease.m_record.m_holder == m_tables.m_self &&
           !m_lease.m_record.m_released;
  }

  void ResolveTaking() {
    // A record of an earlier lease of ours may still be in the row, so only
    // the very record that was written counts.
    if (m_lease.m_record == m_lease.m_pending) {
      Confirmed();
      return;
    }
    if (m_lease.m_row_version != m_lease.m_pending_base) {
      // The row moved past our base, so the takeover can no longer succeed.
      m_lease.m_uncertain = false;
      m_lease.m_phase = LeasePhase::kWatching;
      return;
    }
    m_lease.m_uncertain = false;
    m_lease.m_next_operation = m_now;
  }

  void ResolveHolding() {
    m_lease.m_uncertain = false;
    if (!RowIsOurs() || m_lease.m_record.m_epoch != m_lease.m_pending.m_epoch) {
      StepDown();
      return;
    }
    if (m_lease.m_record == m_lease.m_pending) {
      Confirmed();
    }
  }

  // A write of ours is in the row. Its time counts from when it was sent.
  void Confirmed() {
    m_lease.m_uncertain = false;
    if (m_lease.m_phase == LeasePhase::kReleasing &&
        m_lease.m_record.m_released) {
      Note(EventNumber::kControlLeaseReleased,
           {{"cell", m_cell.m_name}, {"epoch", m_lease.m_record.m_epoch}});
      m_lease.m_phase = LeasePhase::kWatching;
      return;
    }
    const bool first = m_lease.m_phase == LeasePhase::kTaking;
    m_lease.m_phase = m_lease.m_phase == LeasePhase::kReleasing
                          ? LeasePhase::kReleasing
                          : LeasePhase::kHolding;
    m_lease.m_confirmed_at = m_lease.m_pending_sent;
    m_lease.m_authority_until =
        std::max(first ? TimePoint() : m_lease.m_authority_until,
                 m_lease.m_pending_sent + m_settings.m_lease_hold);
    m_lease.m_next_operation =
        m_lease.m_pending_sent + m_settings.m_lease_renew;
    m_lease.m_extended = false;
    m_lease.m_promises.clear();
    NamePossibleStandbys(m_lease.m_record);
    if (first) {
      Begin();
    }
  }

  void Begin() {
    m_cell.m_taken_over_at = m_now;
    m_cell.m_assignment = AssignmentState();
    m_cell.m_routes = nullptr;
    m_cell.m_routes_version = 0;
    m_cell.m_response_number = 0;
    m_cell.m_changed = true;
    // Decisions need a configuration that was read under this lease.
    m_tables.m_config.m_next_poll = m_now;
    Note(EventNumber::kControlLeaseAcquired,
         {{"cell", m_cell.m_name}, {"epoch", m_lease.m_record.m_epoch}});
  }

  void StepDown() {
    Note(EventNumber::kControlLeaseLost,
         {{"cell", m_cell.m_name}, {"epoch", m_lease.m_pending.m_epoch}});
    m_lease.m_phase = LeasePhase::kWatching;
    m_lease.m_authority_until = TimePoint();
    m_lease.m_uncertain = false;
    m_lease.m_promises.clear();
    m_cell.m_assignment = AssignmentState();
  }

  void NamePossibleStandbys(const LeaseRecord& record) {
    for (const ControlProcess& standby : record.m_standbys) {
      m_lease.m_promises.try_emplace(standby, TimePoint());
    }
  }

  void Read() {
    m_lease.m_busy = true;
    m_lease.m_read_sent = m_now;
    m_context.m_outbox.m_reads.push_back(
        {RowPurpose::kLease, m_id, KeyOf(m_cell)});
  }

  void Write(const LeaseRecord& record) {
    m_lease.m_busy = true;
    m_lease.m_pending = record;
    m_lease.m_pending_sent = m_now;
    m_lease.m_pending_base = m_lease.m_row_version;
    // Until its outcome is known, the standbys of this write count as well.
    if (m_lease.m_phase == LeasePhase::kHolding) {
      NamePossibleStandbys(record);
    }
    m_context.m_outbox.m_writes.push_back({RowPurpose::kLease, m_id,
                                           KeyOf(m_cell), m_lease.m_row_version,
                                           record});
  }

  void Watch() {
    if (m_lease.m_busy || m_now < m_lease.m_next_operation) {
      return;
    }
    if (MayTake()) {
      m_lease.m_phase = LeasePhase::kTaking;
      Take();
      return;
    }
    m_lease.m_next_operation = m_now + WatchPeriod();
    Read();
  }

  Duration WatchPeriod() const {
    if (m_lease.m_row_version == 0 || m_lease.m_record.m_released) {
      return m_settings.m_watch_period;
    }
    const auto& standbys = m_lease.m_record.m_standbys;
    const auto self = std::ranges::find(standbys, m_tables.m_self);
    if (self == standbys.end()) {
      return m_settings.m_outsider_watch_period;
    }
    return m_settings.m_watch_period * (1 + 2 * (self - standbys.begin()));
  }

  bool MayTake() const {
    if (m_tables.m_stopping || m_cell.m_removed || !m_lease.m_row_known ||
        !m_lease.m_platform_answers || m_now < m_lease.m_promised_until) {
      return false;
    }
    const Duration unchanged = m_now - m_lease.m_unchanged_since;
    if (m_lease.m_row_version == 0 || m_lease.m_record.m_released) {
      // A process that just started does not know its peers yet.
      return m_now - m_tables.m_started >= kFirstLook &&
             unchanged >= kRankDelay * RankOf(m_tables, m_cell, m_now);
    }
    if (m_lease.m_record.m_holder == m_tables.m_self) {
      // This process stepped down with its record still in the row.
      return unchanged >= m_settings.m_lease_take;
    }
    if (IsStandby(m_lease.m_record, m_tables.m_self)) {
      return unchanged >= m_settings.m_lease_take;
    }
    return unchanged >= WithDrift(m_settings, m_settings.m_extension_limit);
  }

  // Returns whether a write may be sent now. After one without an answer the
  // row is read first.
  bool MayWrite() {
    if (m_lease.m_busy || m_now < m_lease.m_next_operation) {
      return false;
    }
    if (m_lease.m_uncertain) {
      m_lease.m_next_operation = m_now + kRetryDelay;
      Read();
      return false;
    }
    return true;
  }

  void Take() {
    if (!MayWrite()) {
      return;
    }
    // The holder before acts until its last renewal or the promise of this
    // process runs out, whichever is later.
    m_cell.m_predecessor_end = std::min(
        m_now, std::max(m_lease.m_promised_until,
                        m_lease.m_unchanged_since +
                            WithDrift(m_settings, m_settings.m_lease_hold)));
    LeaseRecord record;
    record.m_holder = m_tables.m_self;
    record.m_epoch = m_lease.m_record.m_epoch + 1;
    record.m_standbys = ChooseStandbys(m_tables, m_cell, m_now);
    Write(record);
  }

  void Hold() {
    if (m_now >= m_lease.m_authority_until) {
      StepDown();
      return;
    }
    if (m_tables.m_stopping) {
      m_lease.m_phase = LeasePhase::kReleasing;
      m_lease.m_next_operation = m_now;
      Release();
      return;
    }
    AskForPromises();
    if (!MayWrite()) {
      return;
    }
    LeaseRecord record = m_lease.m_record;
    ++record.m_renewals;
    record.m_standbys = ChooseStandbys(m_tables, m_cell, m_now);
    Write(record);
  }

  // Promises replace renewals while the platform does not answer.
  void AskForPromises() {
    const bool renewals_late =
        m_now - m_lease.m_confirmed_at > m_settings.m_lease_hold / 2;
    const bool within_limit =
        m_now - m_lease.m_confirmed_at < m_settings.m_extension_limit;
    if (!renewals_late || !within_limit ||
        m_now < m_lease.m_next_promise_round) {
      return;
    }
    m_lease.m_next_promise_round = m_now + m_settings.m_promise / 10;
    for (const auto& [standby, until] : m_lease.m_promises) {
      m_context.m_outbox.m_promises.push_back(
          {m_id, m_cell.m_name, standby, m_lease.m_record.m_epoch});
    }
    if (m_lease.m_promises.empty()) {
      Extend();
    }
  }

  // Without standbys nobody but this process may take over before the
  // extension limit, so its own word is enough.
  void Extend() {
    TimePoint until = m_lease.m_confirmed_at + m_settings.m_extension_limit;
    for (const auto& [standby, promised] : m_lease.m_promises) {
      until = std::min(until, promised);
    }
    if (until <= m_lease.m_authority_until) {
      return;
    }
    m_lease.m_authority_until = until;
    if (!m_lease.m_extended) {
      m_lease.m_extended = true;
      Note(EventNumber::kControlLeaseExtended,
           {{"cell", m_cell.m_name}, {"epoch", m_lease.m_record.m_epoch}});
    }
  }

  void Release() {
    if (m_now >= m_lease.m_authority_until) {
      StepDown();
      return;
    }
    if (!MayWrite()) {
      return;
    }
    const TimePoint tokens_over =
        m_cell.m_taken_over_at +
        WithDrift(m_settings, m_settings.m_token_lifetime);
    if (m_cell.IsAccess() && m_now < tokens_over) {
      return;
    }
    LeaseRecord record = m_lease.m_record;
    ++record.m_renewals;
    record.m_released = true;
    Write(record);
  }

  void Note(EventNumber number, std::vector<EventField> fields) {
    m_context.m_outbox.m_events.push_back({number, std::move(fields)});
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  const ControlSettings& m_settings;
  TimePoint m_now;
  CellId m_id;
  CellRow& m_cell;
  LeaseState& m_lease;
};

void TakeIn(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  for (const RowAnswer& answer : context.m_inbox.m_rows) {
    CellRow* cell = tables.m_cells.Find(answer.m_cell);
    if (!cell || answer.m_purpose != RowPurpose::kLease) {
      continue;
    }
    CellLease lease(context, answer.m_cell, *cell);
    if (answer.m_write) {
      lease.OnWritten(answer);
    } else {
      lease.OnRead(answer);
    }
  }
  for (const PromiseAnswer& answer : context.m_inbox.m_promises) {
    if (CellRow* cell = tables.m_cells.Find(answer.m_cell)) {
      CellLease(context, answer.m_cell, *cell).OnPromise(answer);
    }
  }
  for (const PromiseAsked& asked : context.m_inbox.m_promises_asked) {
    const CellId id = FindCell(tables, asked.m_cell);
    if (id.IsValid()) {
      CellLease(context, id, tables.m_cells.Get(id)).OnPromiseAsked(asked);
    } else {
      context.m_outbox.m_promise_answers.push_back({asked.m_handle, false});
    }
  }
}

}  // namespace

void LeaseSystem::Run(ControlContext& context) {
  TakeIn(context);
  context.m_tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    CellLease(context, id, cell).Advance();
  });
}

}  // namespace foxtail
