#include "control/lease_system.h"

#include <algorithm>

#include "control/standby_choice.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Delay per rendezvous rank before a process acquires a vacant lease, so that
// cells spread over the hosts.
constexpr milliseconds kRankDelay{150};
constexpr milliseconds kPeerDiscoveryTime{1000};
constexpr milliseconds kRetryDelay{50};

// A read in flight for longer counts as failed when a promise is requested.
constexpr milliseconds kReadTimeout{100};

RowKey LeaseKey(const CellRow& cell) {
  return {"lease", cell.m_name};
}

bool IsStandby(const LeaseRecord& record, const ControlProcess& self) {
  return std::ranges::find(record.m_standbys, self) != record.m_standbys.end();
}

// Handles one cell's lease in one tick.
class CellLease {
 public:
  CellLease(ControlContext& context, CellId id, CellRow& cell)
      : m_context(context),
        m_tables(context.m_tables),
        m_settings(context.m_tables.m_settings),
        m_now(context.m_now.m_steady),
        m_cell_id(id),
        m_cell(cell),
        m_lease(cell.m_lease) {}

  void OnRead(const RowResponse& response) {
    m_lease.m_store_call_in_flight = false;
    m_lease.m_platform_responds =
        response.m_result.m_outcome != RowOutcome::kNoResponse;
    if (!m_lease.m_platform_responds) {
      m_lease.m_next_store_call_at = m_now + kRetryDelay;
      return;
    }
    ApplyRow(response);
    if (m_lease.m_phase == LeasePhase::kAcquiring &&
        m_lease.m_write_outcome_unknown) {
      ResolveAcquisition();
    } else if (m_lease.m_phase == LeasePhase::kHolding ||
               m_lease.m_phase == LeasePhase::kReleasing) {
      ResolveRenewal();
    }
  }

  void OnWritten(const RowResponse& response) {
    m_lease.m_store_call_in_flight = false;
    if (response.m_result.m_outcome == RowOutcome::kNoResponse) {
      m_lease.m_write_outcome_unknown = true;
      m_lease.m_platform_responds = false;
      m_lease.m_next_store_call_at = m_now + kRetryDelay;
      return;
    }
    m_lease.m_platform_responds = true;
    if (response.m_result.m_outcome == RowOutcome::kVersionMismatch) {
      // Either another process wrote the row first, or an earlier write of this
      // process took effect without a response. The next read resolves this.
      m_lease.m_write_outcome_unknown = true;
      m_lease.m_next_store_call_at = m_now;
      return;
    }
    m_lease.m_row_version = response.m_result.m_version;
    m_lease.m_record = m_lease.m_pending_record;
    m_lease.m_unchanged_since = m_now;
    OnWriteConfirmed();
  }

  void OnPromise(const PromiseResponse& response) {
    const auto standby = m_lease.m_promises.find(response.m_standby);
    if (!response.m_given || m_lease.m_phase != LeasePhase::kHolding ||
        response.m_epoch != m_lease.m_record.m_epoch ||
        standby == m_lease.m_promises.end()) {
      return;
    }
    // Counting from when the request was sent is safe, because the standby
    // counts from when it responded.
    const Duration ttl = m_settings.m_promise_ttl;
    standby->second = std::max(
        standby->second,
        response.m_sent_at + std::chrono::duration_cast<Duration>(
                                 ttl * (1.0 - m_settings.m_clock_drift)));
    ExtendAuthority();
  }

  // A standby gives a promise only while it cannot read the platform itself and
  // has no takeover in flight, which might still take effect. A standby that
  // may not have noticed an outage yet reads the row at once, so that it can
  // answer the holder's next request.
  void OnPromiseRequested(const ReceivedPromiseRequest& received) {
    const bool read_overdue = m_lease.m_store_call_in_flight &&
                              m_now - m_lease.m_read_sent_at > kReadTimeout;
    const bool given = m_lease.m_phase == LeasePhase::kWatching &&
                       (!m_lease.m_platform_responds || read_overdue) &&
                       m_lease.m_row_loaded &&
                       m_lease.m_record.m_holder == received.m_holder &&
                       m_lease.m_record.m_epoch == received.m_epoch;
    if (given) {
      m_lease.m_promised_until =
          std::max(m_lease.m_promised_until,
                   m_now + AddClockDrift(m_settings, m_settings.m_promise_ttl));
      LogEvent(
          EventNumber::kPromiseGiven,
          {{"cell", m_cell.m_name}, {"holder", received.m_holder.m_address}});
    }
    if (m_lease.m_phase == LeasePhase::kWatching && !given) {
      m_lease.m_next_store_call_at = m_now;
    }
    m_context.m_outbox.m_promise_responses.push_back(
        {received.m_handle, given});
  }

  void Advance() {
    using Step = void (CellLease::*)();
    constexpr Step kSteps[] = {&CellLease::Watch, &CellLease::Acquire,
                               &CellLease::Hold, &CellLease::Release};
    (this->*kSteps[static_cast<size_t>(m_lease.m_phase)])();
  }

 private:
  void ApplyRow(const RowResponse& response) {
    const bool missing =
        response.m_result.m_outcome == RowOutcome::kVersionMismatch;
    const uint64_t version = missing ? 0 : response.m_result.m_version;
    if (m_lease.m_row_loaded && version == m_lease.m_row_version) {
      return;
    }
    m_lease.m_row_loaded = true;
    m_lease.m_row_version = version;
    m_lease.m_unchanged_since = m_now;
    const auto* record = std::get_if<LeaseRecord>(&response.m_result.m_value);
    m_lease.m_record = record ? *record : LeaseRecord();
  }

  bool RowNamesThisProcess() const {
    return m_lease.m_row_version != 0 &&
           m_lease.m_record.m_holder == m_tables.m_self &&
           !m_lease.m_record.m_released;
  }

  void ResolveAcquisition() {
    // The row may still hold the record of an earlier lease of this process, so
    // only a record equal to the written one confirms the takeover.
    if (m_lease.m_record == m_lease.m_pending_record) {
      OnWriteConfirmed();
      return;
    }
    if (m_lease.m_row_version != m_lease.m_pending_base_version) {
      // The row changed after the version that the write requires, so the
      // takeover can no longer succeed.
      m_lease.m_write_outcome_unknown = false;
      m_lease.m_phase = LeasePhase::kWatching;
      return;
    }
    m_lease.m_write_outcome_unknown = false;
    m_lease.m_next_store_call_at = m_now;
  }

  void ResolveRenewal() {
    m_lease.m_write_outcome_unknown = false;
    if (!RowNamesThisProcess() ||
        m_lease.m_record.m_epoch != m_lease.m_pending_record.m_epoch) {
      StepDown();
      return;
    }
    if (m_lease.m_record == m_lease.m_pending_record) {
      OnWriteConfirmed();
    }
  }

  // The row holds the record of the last write. The lease's TTL counts from
  // when that write was sent.
  void OnWriteConfirmed() {
    m_lease.m_write_outcome_unknown = false;
    if (m_lease.m_phase == LeasePhase::kReleasing &&
        m_lease.m_record.m_released) {
      LogEvent(EventNumber::kControlLeaseReleased,
               {{"cell", m_cell.m_name}, {"epoch", m_lease.m_record.m_epoch}});
      m_lease.m_phase = LeasePhase::kWatching;
      return;
    }
    const bool acquired = m_lease.m_phase == LeasePhase::kAcquiring;
    m_lease.m_phase = m_lease.m_phase == LeasePhase::kReleasing
                          ? LeasePhase::kReleasing
                          : LeasePhase::kHolding;
    m_lease.m_confirmed_at = m_lease.m_pending_sent_at;
    m_lease.m_authority_until =
        std::max(acquired ? TimePoint() : m_lease.m_authority_until,
                 m_lease.m_pending_sent_at + m_settings.m_lease_ttl);
    m_lease.m_next_store_call_at =
        m_lease.m_pending_sent_at + m_settings.m_lease_renew_period;
    m_lease.m_extended = false;
    m_lease.m_promises.clear();
    AddPossibleStandbys(m_lease.m_record);
    if (acquired) {
      BeginTerm();
    }
  }

  void BeginTerm() {
    m_cell.m_taken_over_at = m_now;
    m_cell.m_assignment = AssignmentState();
    m_cell.m_routes = nullptr;
    m_cell.m_routes_version = 0;
    m_cell.m_last_response_number = 0;
    m_cell.m_routes_dirty = true;
    // Decisions require a configuration that was read under this lease.
    m_tables.m_config.m_next_poll_at = m_now;
    LogEvent(EventNumber::kControlLeaseAcquired,
             {{"cell", m_cell.m_name}, {"epoch", m_lease.m_record.m_epoch}});
  }

  void StepDown() {
    LogEvent(
        EventNumber::kControlLeaseLost,
        {{"cell", m_cell.m_name}, {"epoch", m_lease.m_pending_record.m_epoch}});
    m_lease.m_phase = LeasePhase::kWatching;
    m_lease.m_authority_until = TimePoint();
    m_lease.m_write_outcome_unknown = false;
    m_lease.m_promises.clear();
    m_cell.m_assignment = AssignmentState();
  }

  void AddPossibleStandbys(const LeaseRecord& record) {
    for (const ControlProcess& standby : record.m_standbys) {
      m_lease.m_promises.try_emplace(standby, TimePoint());
    }
  }

  void Read() {
    m_lease.m_store_call_in_flight = true;
    m_lease.m_read_sent_at = m_now;
    m_context.m_outbox.m_reads.push_back(
        {RowPurpose::kLease, m_cell_id, LeaseKey(m_cell)});
  }

  void Write(const LeaseRecord& record) {
    m_lease.m_store_call_in_flight = true;
    m_lease.m_pending_record = record;
    m_lease.m_pending_sent_at = m_now;
    m_lease.m_pending_base_version = m_lease.m_row_version;
    // The standbys of this write may take over if the write succeeds, so they
    // must promise as well until the outcome is known.
    if (m_lease.m_phase == LeasePhase::kHolding) {
      AddPossibleStandbys(record);
    }
    m_context.m_outbox.m_writes.push_back({RowPurpose::kLease, m_cell_id,
                                           LeaseKey(m_cell),
                                           m_lease.m_row_version, record});
  }

  void Watch() {
    if (m_lease.m_store_call_in_flight ||
        m_now < m_lease.m_next_store_call_at) {
      return;
    }
    if (MayAcquire()) {
      m_lease.m_phase = LeasePhase::kAcquiring;
      Acquire();
      return;
    }
    m_lease.m_next_store_call_at = m_now + WatchPeriod();
    Read();
  }

  Duration WatchPeriod() const {
    if (m_lease.m_row_version == 0 || m_lease.m_record.m_released) {
      return m_settings.m_watch_period;
    }
    const auto& standbys = m_lease.m_record.m_standbys;
    const auto self = std::ranges::find(standbys, m_tables.m_self);
    if (self == standbys.end()) {
      return m_settings.m_non_standby_watch_period;
    }
    return m_settings.m_watch_period * (1 + 2 * (self - standbys.begin()));
  }

  bool MayAcquire() const {
    if (m_tables.m_shutting_down || m_cell.m_removed || !m_lease.m_row_loaded ||
        !m_lease.m_platform_responds || m_now < m_lease.m_promised_until) {
      return false;
    }
    const Duration unchanged_for = m_now - m_lease.m_unchanged_since;
    if (m_lease.m_row_version == 0 || m_lease.m_record.m_released) {
      // A process that has just started does not know its peers yet and cannot
      // rank itself.
      return m_now - m_tables.m_started_at >= kPeerDiscoveryTime &&
             unchanged_for >=
                 kRankDelay * RendezvousRank(m_tables, m_cell, m_now);
    }
    if (m_lease.m_record.m_holder == m_tables.m_self) {
      // This process stepped down while its record was still in the row.
      return unchanged_for >= m_settings.m_takeover_delay;
    }
    if (IsStandby(m_lease.m_record, m_tables.m_self)) {
      return unchanged_for >= m_settings.m_takeover_delay;
    }
    return unchanged_for >=
           AddClockDrift(m_settings, m_settings.m_extension_limit);
  }

  // Returns whether a write may be sent now. If the outcome of the last write
  // is unknown, the row is read first.
  bool MayWrite() {
    if (m_lease.m_store_call_in_flight ||
        m_now < m_lease.m_next_store_call_at) {
      return false;
    }
    if (m_lease.m_write_outcome_unknown) {
      m_lease.m_next_store_call_at = m_now + kRetryDelay;
      Read();
      return false;
    }
    return true;
  }

  void Acquire() {
    if (!MayWrite()) {
      return;
    }
    // The predecessor acts until its last renewal or the promise of this
    // process expires, whichever is later.
    m_cell.m_predecessor_active_until = std::min(
        m_now, std::max(m_lease.m_promised_until,
                        m_lease.m_unchanged_since +
                            AddClockDrift(m_settings, m_settings.m_lease_ttl)));
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
    if (m_tables.m_shutting_down) {
      m_lease.m_phase = LeasePhase::kReleasing;
      m_lease.m_next_store_call_at = m_now;
      Release();
      return;
    }
    RequestPromises();
    if (!MayWrite()) {
      return;
    }
    LeaseRecord record = m_lease.m_record;
    ++record.m_renewals;
    record.m_standbys = ChooseStandbys(m_tables, m_cell, m_now);
    Write(record);
  }

  // Promises replace renewals while the platform does not respond.
  void RequestPromises() {
    const bool renewal_overdue =
        m_now - m_lease.m_confirmed_at > m_settings.m_lease_ttl / 2;
    const bool within_limit =
        m_now - m_lease.m_confirmed_at < m_settings.m_extension_limit;
    if (!renewal_overdue || !within_limit ||
        m_now < m_lease.m_next_promise_round_at) {
      return;
    }
    m_lease.m_next_promise_round_at = m_now + m_settings.m_promise_ttl / 10;
    for (const auto& [standby, until] : m_lease.m_promises) {
      m_context.m_outbox.m_promise_requests.push_back(
          {m_cell_id, m_cell.m_name, standby, m_lease.m_record.m_epoch});
    }
    if (m_lease.m_promises.empty()) {
      ExtendAuthority();
    }
  }

  // Extends the authority until the earliest promise of a standby expires.
  // Without standbys, no other process may take over before the extension
  // limit, so no promise is needed.
  void ExtendAuthority() {
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
      LogEvent(EventNumber::kControlLeaseExtended,
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
    const TimePoint predecessor_tokens_expired =
        m_cell.m_taken_over_at +
        AddClockDrift(m_settings, m_settings.m_token_ttl);
    if (m_cell.IsAccess() && m_now < predecessor_tokens_expired) {
      return;
    }
    LeaseRecord record = m_lease.m_record;
    ++record.m_renewals;
    record.m_released = true;
    Write(record);
  }

  void LogEvent(EventNumber number, std::vector<EventField> fields) {
    m_context.m_outbox.m_events.push_back({number, std::move(fields)});
  }

  ControlContext& m_context;
  ControlTables& m_tables;
  const ControlSettings& m_settings;
  TimePoint m_now;
  CellId m_cell_id;
  CellRow& m_cell;
  LeaseState& m_lease;
};

void ApplyResponses(ControlContext& context) {
  ControlTables& tables = context.m_tables;
  for (const RowResponse& response : context.m_inbox.m_row_responses) {
    CellRow* cell = tables.m_cells.Find(response.m_cell);
    if (!cell || response.m_purpose != RowPurpose::kLease) {
      continue;
    }
    CellLease lease(context, response.m_cell, *cell);
    if (response.m_is_write) {
      lease.OnWritten(response);
    } else {
      lease.OnRead(response);
    }
  }
  for (const PromiseResponse& response : context.m_inbox.m_promise_responses) {
    if (CellRow* cell = tables.m_cells.Find(response.m_cell)) {
      CellLease(context, response.m_cell, *cell).OnPromise(response);
    }
  }
  for (const ReceivedPromiseRequest& received :
       context.m_inbox.m_promise_requests) {
    const CellId id = FindCell(tables, received.m_cell);
    if (id.IsValid()) {
      CellLease(context, id, tables.m_cells.Get(id))
          .OnPromiseRequested(received);
    } else {
      context.m_outbox.m_promise_responses.push_back(
          {received.m_handle, false});
    }
  }
}

}  // namespace

void LeaseSystem::Run(ControlContext& context) {
  ApplyResponses(context);
  context.m_tables.m_cells.ForEach([&](CellId id, CellRow& cell) {
    CellLease(context, id, cell).Advance();
  });
}

}  // namespace foxtail
