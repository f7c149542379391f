#include "gateway/control_thread.h"

#include <boost/fiber/operations.hpp>
#include <cstdlib>
#include <random>

#include "core/digest.h"
#include "core/error.h"
#include "gateway/era_history_system.h"
#include "gateway/gateway_tick.h"
#include "gateway/leadership_system.h"
#include "gateway/member_system.h"
#include "gateway/owners_system.h"
#include "gateway/range_grant_system.h"
#include "gateway/relay_system.h"
#include "gateway/rollout_system.h"
#include "gateway/store_era_system.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

namespace foxtail {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// A watch returns changes at once and otherwise stays open for this time.
// Probes detect a watch that no longer receives changes.
constexpr std::chrono::seconds kWatchTimeout{25};

// Servers register and report one by one, so their changes are batched.
constexpr milliseconds kServerBatchDelay{250};
constexpr milliseconds kClusterBatchDelay{20};

// Interval between checks whether a probe is due, and timeout of a probe, which
// returns almost at once without changes.
constexpr milliseconds kProbeCheckInterval{300};
constexpr milliseconds kProbeTimeout{1};

// A failed watch is retried after a random delay between these.
constexpr int kMinRetryDelay = 100;  // milliseconds
constexpr int kMaxRetryDelay = 250;  // milliseconds

// An address of this process that another socket has is tried again after this
// delay.
constexpr milliseconds kAddressRetryDelay{100};

// Longest time until a table is read after it may be: the end of the wait for
// the history of an era is notified.
constexpr std::chrono::seconds kHistoryCheckInterval{1};

constexpr size_t kMaxDatagramSize = 60 * 1024;  // bytes

udp::endpoint ParseEndpoint(const std::string& text) {
  const Address address = ParseAddress(text);
  return {boost::asio::ip::make_address(address.m_host), address.m_port};
}

void SleepBeforeRetry() {
  thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<int> delay(kMinRetryDelay, kMaxRetryDelay);
  boost::this_fiber::sleep_for(milliseconds(delay(random)));
}

}  // namespace

ControlThread::ControlThread(const GatewaySettings& settings,
                             const DirectoryDecoder& decoder,
                             ControlClientFactories factories,
                             ControlListener& listener,
                             EventLog& events)
    : m_settings(settings),
      m_decoder(decoder),
      m_directory(decoder),
      m_factories(std::move(factories)),
      m_listener(listener),
      m_events(events),
      m_store_retry({}, std::random_device{}()) {
  m_tables.m_settings = settings.m_ownership;
  m_tables.m_settings.m_scheduling = ParseSchedulingMode(settings);
  m_tables.m_self = {settings.m_internal, RandomToken(), settings.m_data_centre,
                     ParseProcessorShare(settings), settings.m_permits};
  m_watched = {{kOperatorRows, decoder.OperatorTable(),
                &DirectorySystem::ApplyOperatorRows},
               {kServerRows, decoder.ServerTable(),
                &DirectorySystem::ApplyServerRows, kServerBatchDelay},
               {kClusterRows, kClusterTable, &DirectorySystem::ApplyClusterRows,
                kClusterBatchDelay}};
}

ControlThread::~ControlThread() = default;

void ControlThread::Start() {
  m_thread = std::thread([this] { Run(); });
}

void ControlThread::BeginShutdown() {
  m_mailbox.Post([this] {
    m_tables.m_shutting_down = true;
    m_tables.m_leader_lease.m_next_store_call_at = TimePoint();
    Wake();
  });
}

void ControlThread::Report(MemberReport report) {
  m_mailbox.Post([this, report = std::move(report)]() mutable {
    MemberSystem::SendReport(m_tables, std::move(report), ReadClocks());
    Flush();
  });
}

void ControlThread::ReportLeavingServers(std::vector<LeavingServer> servers) {
  m_mailbox.Post([this, servers = std::move(servers)]() mutable {
    MemberSystem::SendLeavingServers(m_tables, {std::move(servers)},
                                     ReadClocks());
    Flush();
    Wake();
  });
}

void ControlThread::ReportRollouts(std::vector<RolloutCounts> counts) {
  if (counts.empty()) {
    return;
  }
  m_mailbox.Post([this, counts = std::move(counts)]() mutable {
    RolloutSystem::SendReport(m_tables, std::move(counts), ReadClocks());
    Flush();
  });
}

void ControlThread::Run() {
  InstallFiberScheduler();
  m_store = m_factories.m_make_store();
  m_server_control = m_factories.m_make_server_control();
  OpenSocket();
  m_tables.m_started_at = Clock::now();
  RelaySystem::OnStarted(m_tables, m_tables.m_started_at);
  for (WatchedTable& table : m_watched) {
    StartFiber([this, &table] { WatchLoop(table); });
  }
  StartFiber([this] { ProbeLoop(); });
  StartFiber([this] { ReceiveLoop(); });
  StartFiber([this] { TickLoop(); });
  StartFiber([this] { ProgressLoop(); });
  m_mailbox.Loop();
  m_stopping = true;
}

void ControlThread::OpenSocket() {
  m_socket = std::make_unique<udp::socket>(ThreadIoContext(), udp::v4());
  boost::system::error_code failure;
  bool reported = false;
  while (m_socket->bind(ParseEndpoint(m_settings.m_internal), failure)) {
    const bool in_use = failure == boost::asio::error::address_in_use;
    if (!std::exchange(reported, true)) {
      m_events.Write(
          in_use ? EventNumber::kAddressInUse : EventNumber::kInternalFailure,
          {{"error", "cannot receive at " + m_settings.m_internal + ": " +
                         failure.message()}});
    }
    if (!in_use) {
      std::quick_exit(EXIT_FAILURE);
    }
    boost::this_fiber::sleep_for(kAddressRetryDelay);
  }
}

void ControlThread::WatchLoop(WatchedTable& table) {
  while (!m_stopping) {
    if (table.m_loaded && !RelaySystem::MustWatch(m_tables, ReadClocks())) {
      // The leader relays the changes, so this process's own failures to reach
      // the store no longer matter.
      table.m_failing = false;
      m_watch_needed.WaitUntil(m_tables.m_relayed_until);
    } else if (!EraHistorySystem::MayApply(m_tables, table.m_kind)) {
      m_history_settled.WaitUntil(Clock::now() + kHistoryCheckInterval);
    } else if (!m_store_retry.TakeTry(Clock::now())) {
      m_store_reachable.WaitUntil(m_store_retry.GetNextTry());
    } else if (!ReadOrWatch(table) && !table.m_failing) {
      SleepBeforeRetry();
    }
  }
}

// Returns whether to continue without a delay.
bool ControlThread::ReadOrWatch(WatchedTable& table) {
  const BootTime sent_at = BootClock::now();
  const bool complete = !table.m_loaded;
  bool cancelled = false;
  const RowsResult result =
      complete ? m_store->Read(table.m_name, "",
                               m_settings.m_ownership.m_store_timeout)
               : Watch(table, cancelled);
  if (cancelled) {
    return true;
  }
  const bool applied = ApplyResult(table, result, complete, sent_at);
  if (applied && table.m_loaded && !result.m_rows.empty()) {
    boost::this_fiber::sleep_for(table.m_batch_delay);
  }
  return applied;
}

// While reads fail, a watch that stays open would not tell that the store is
// back.
RowsResult ControlThread::Watch(WatchedTable& table, bool& cancelled) {
  const auto cancellation = std::make_shared<Cancellation>();
  table.m_open_watch = cancellation;
  RowsResult result = m_store->Watch(
      table.m_name, m_tables.m_progress[table.m_kind].m_applied_version,
      m_store_retry.IsFailing() ? kProbeTimeout : kWatchTimeout, cancellation);
  table.m_open_watch = nullptr;
  cancelled = cancellation->IsCancelled();
  return result;
}

bool ControlThread::ApplyResult(WatchedTable& table,
                                const RowsResult& result,
                                bool complete,
                                BootTime sent_at) {
  if (!AcceptEra(result.m_outcome, result.m_era)) {
    return false;
  }
  if (result.m_outcome == StoreOutcome::kHistoryLost) {
    table.m_loaded = false;
    return true;
  }
  const bool succeeded = result.m_outcome == StoreOutcome::kDone;
  UpdateReachability(table, succeeded, result.m_outcome);
  WatchProgress& progress = m_tables.m_progress[table.m_kind];
  if (!succeeded) {
    return false;
  }
  if (!EraHistorySystem::MayApply(m_tables, table.m_kind)) {
    return true;
  }
  // A result older than one already applied would revert changes.
  if (result.m_version < progress.m_applied_version) {
    return !complete;
  }
  table.m_loaded = true;
  progress.m_last_read_sent_at =
      std::max(progress.m_last_read_sent_at, sent_at);
  if (!complete) {
    progress.RecordAnsweredWatch(sent_at, FindAnswerTime(result, sent_at));
  }
  if (table.m_kind == kOperatorRows) {
    m_tables.m_operators_read_at =
        std::max(m_tables.m_operators_read_at, sent_at);
  }
  if (complete) {
    m_events.Write(EventNumber::kDirectoryRead,
                   {{"table", table.m_name},
                    {"rows", result.m_rows.size()},
                    {"version", result.m_version}});
  } else {
    RelaySystem::OnRead(m_tables, table.m_kind, progress.m_last_change_version,
                        result, ReadClocks());
  }
  ApplyRows(table, result, complete);
  progress.RecordCompleteAt(sent_at);
  return true;
}

// Returns when the store answered. The response may have been read later.
BootTime ControlThread::FindAnswerTime(const RowsResult& result,
                                       BootTime sent_at) {
  const BootTime now = BootClock::now();
  if (!result.m_store_time) {
    return now;
  }
  m_store_clock.Record(sent_at, *result.m_store_time);
  return std::min(now, m_store_clock.FindEarliest(*result.m_store_time));
}

// Returns whether a result may be used.
bool ControlThread::AcceptEra(StoreOutcome outcome, uint64_t era) {
  const bool accepted =
      StoreEraSystem::OnResult(m_tables, outcome, era, ReadClocks());
  FollowEra();
  return accepted;
}

// Has all tables read again if the era has changed. Watches of the era before
// may stay open until the store has reached their versions again.
void ControlThread::FollowEra() {
  if (m_followed_era == m_tables.m_store_era.m_era) {
    return;
  }
  const bool first = !m_followed_era;
  m_followed_era = m_tables.m_store_era.m_era;
  if (first) {
    return;
  }
  for (WatchedTable& table : m_watched) {
    table.m_loaded = false;
  }
  RestartWatches();
  m_watch_needed.Notify();
  Flush();
  Wake();
}

void ControlThread::ApplyRows(WatchedTable& table,
                              const RowsResult& result,
                              bool complete) {
  if (complete || !result.m_rows.empty()) {
    (m_directory.*table.m_apply)(m_tables, result.m_rows, complete,
                                 ReadClocks());
    Wake();
  }
  // Recorded last: while the rows are applied, the progress tells since when
  // they have been waiting.
  m_tables.m_progress[table.m_kind].RecordAppliedRows(result, complete);
  Flush();
}

// A watch whose connection was lost unnoticed returns no changes, and an open
// watch doesn't show how fresh the configuration is. Probes check both.
void ControlThread::ProbeLoop() {
  while (!m_stopping) {
    for (WatchedTable& table : m_watched) {
      if (table.m_loaded &&
          RelaySystem::IsProbeDue(m_tables, table.m_kind, ReadClocks()) &&
          m_store_retry.TakeTry(Clock::now())) {
        Probe(table);
      }
    }
    boost::this_fiber::sleep_for(kProbeCheckInterval);
  }
}

void ControlThread::Probe(WatchedTable& table) {
  const BootTime sent_at = BootClock::now();
  const uint64_t version = m_tables.m_progress[table.m_kind].m_applied_version;
  const RowsResult result =
      m_store->Watch(table.m_name, version, kProbeTimeout, nullptr);
  // An open watch would have received the same.
  const bool watch_is_dead =
      result.m_outcome == StoreOutcome::kHistoryLost || !result.m_rows.empty();
  ApplyResult(table, result, false, sent_at);
  if (watch_is_dead && table.m_open_watch) {
    RestartWatches();
  }
}

// All watches share the path to the store, so all may have been lost with one.
// Their loops would otherwise wait for them until they time out.
void ControlThread::RestartWatches() {
  for (const WatchedTable& table : m_watched) {
    if (const auto watch = table.m_open_watch) {
      watch->Cancel();
    }
  }
}

void ControlThread::UpdateReachability(WatchedTable& table,
                                       bool succeeded,
                                       StoreOutcome outcome) {
  if (succeeded && table.m_failing) {
    m_events.Write(EventNumber::kPlatformReachable, {{"table", table.m_name}});
  }
  if (!succeeded && !table.m_failing) {
    m_events.Write(EventNumber::kPlatformUnreachable,
                   {{"error", NameOf(outcome)}, {"table", table.m_name}});
  }
  table.m_failing = !succeeded;
  RelaySystem::OnReadOutcome(m_tables, table.m_kind, succeeded, ReadClocks());
  if (!succeeded) {
    m_store_retry.OnFailure(Clock::now());
  } else if (m_store_retry.IsFailing()) {
    m_store_retry.OnSuccess();
    m_store_reachable.Notify();
  }
}

void ControlThread::ProgressLoop() {
  while (!m_stopping) {
    m_listener.CheckProgress();
    boost::this_fiber::sleep_for(StallDetectorSettings().m_check_interval);
  }
}

void ControlThread::TickLoop() {
  while (!m_stopping) {
    Tick();
    m_wake.WaitUntil(m_tables.m_next_tick_at);
  }
}

void ControlThread::Tick() {
  const EraHistory history = m_tables.m_store_era.m_history;
  RunGatewayTick(m_tables, ReadClocks());
  if (m_tables.m_store_era.m_history != history) {
    m_history_settled.Notify();
  }
  Flush();
  if (m_tables.IsLeading(ReadClocks())) {
    m_watch_needed.Notify();
  }
}

// Delivers the events, commands, tokens and snapshots that the systems queued.
void ControlThread::Flush() {
  for (const PendingEvent& event : std::exchange(m_tables.m_events, {})) {
    m_events.Write(event.m_number, event.m_fields);
  }
  for (ControlCommand& command : std::exchange(m_tables.m_outbox, {})) {
    StartCommand(std::move(command));
  }
  for (LeaderTokens& tokens : std::exchange(m_tables.m_leader_tokens, {})) {
    m_listener.OnLeaderTokens(std::move(tokens));
  }
  if (std::exchange(m_tables.m_snapshot_due, false)) {
    m_listener.OnSnapshot(BuildSnapshot(m_tables));
  }
  // The snapshot with the rows of this read must be delivered first: otherwise
  // a withdrawn API key would be admitted as freshly checked.
  if (m_published_read_at != m_tables.m_operators_read_at) {
    m_published_read_at = m_tables.m_operators_read_at;
    m_listener.OnFreshness(m_published_read_at);
  }
}

void ControlThread::Wake() {
  m_wake.Notify();
}

void ControlThread::ReceiveLoop() {
  std::string buffer(kMaxDatagramSize, '\0');
  while (!m_stopping) {
    udp::endpoint sender;
    FiberWait wait;
    m_socket->async_receive_from(boost::asio::buffer(buffer), sender,
                                 wait.Handler());
    if (wait.Wait()) {
      // The socket reports here that a peer's port has no listener. No datagram
      // to this process is lost.
      SleepBeforeRetry();
      continue;
    }
    OnDatagram(buffer.substr(0, wait.GetBytes()));
  }
}

void ControlThread::OnDatagram(const std::string& bytes) {
  try {
    ClusterMessage message = DecodeClusterMessage(bytes);
    std::visit([this](auto& typed) { Receive(typed, ReadClocks()); }, message);
  } catch (const std::exception& failure) {
    // One message must not end the loop that receives all others.
    m_events.Write(EventNumber::kInternalFailure, {{"error", failure.what()}});
  }
}

void ControlThread::Receive(const MemberReport& report, const Now& now) {
  if (auto response = MemberSystem::OnReport(m_tables, report, now)) {
    Execute(SendDatagramCommand{{report.m_address}, std::move(*response)});
  }
}

void ControlThread::Receive(const ReportResponse& response, const Now& now) {
  LeadershipSystem::OnReportResponse(m_tables, response, now);
  MemberSystem::OnReportResponse(m_tables, response, now);
  FollowEra();
  if (response.m_refused) {
    m_watch_needed.Notify();
  }
  Flush();
  if (response.m_shutting_down) {
    Wake();
  }
}

void ControlThread::Receive(const LeaderAnnouncement& announcement,
                            const Now& now) {
  LeadershipSystem::OnAnnouncement(m_tables, announcement, now);
  FollowEra();
  Flush();
}

void ControlThread::Receive(const LeavingServersNotice& notice,
                            const Now& now) {
  MemberSystem::OnLeavingServers(m_tables, notice, now);
  Flush();
  Wake();
}

void ControlThread::Receive(const RolloutReport& report, const Now& now) {
  if (auto notice = RolloutSystem::OnReport(m_tables, report, now)) {
    Execute(SendDatagramCommand{{report.m_address}, std::move(*notice)});
  }
}

void ControlThread::Receive(const RolloutNotice& notice, const Now&) {
  RolloutSystem::OnNotice(m_tables, notice);
  Flush();
}

void ControlThread::Receive(const HistoryRequest& request, const Now& now) {
  StoreEraSystem::OnMessage(m_tables, request.m_era_version, now);
  FollowEra();
  if (auto response = EraHistorySystem::OnRequest(m_tables, now)) {
    Execute(SendDatagramCommand{{request.m_address}, std::move(*response)});
  }
}

void ControlThread::Receive(const HistoryResponse& response, const Now& now) {
  if (StoreEraSystem::OnMessage(m_tables, response.m_era_version, now)) {
    EraHistorySystem::OnResponse(m_tables, response, now);
  }
  FollowEra();
  m_history_settled.Notify();
  Flush();
}

void ControlThread::Receive(RelayedRows& relayed, const Now& now) {
  if (const auto forward = RelaySystem::TakeForward(m_tables, relayed)) {
    Execute(*forward);
  }
  const uint32_t kind = relayed.m_kind;
  const auto rows =
      RelaySystem::OnRelayedRows(m_tables, std::move(relayed), now);
  FollowEra();
  if (rows && m_watched[kind].m_loaded) {
    ApplyRows(m_watched[kind], *rows, false);
  }
}

void ControlThread::StartCommand(ControlCommand command) {
  StartFiber([this, command = std::move(command)] {
    std::visit([this](const auto& typed) { Execute(typed); }, command);
    Wake();
  });
}

void ControlThread::Execute(const GrantCommand& command) {
  const ServerCallOutcome outcome = m_server_control->Grant(
      {command.m_server, command.m_address}, command.m_keys, command.m_fence,
      command.m_grant_ttl, command.m_handover,
      m_settings.m_ownership.m_server_call_timeout);
  RangeGrantSystem::OnGranted(m_tables, command, outcome, ReadClocks());
}

void ControlThread::Execute(const ReleaseCommand& command) {
  std::string handover;
  const ServerCallOutcome outcome = m_server_control->Release(
      {command.m_server, command.m_address}, command.m_keys, command.m_fence,
      command.m_timeout, handover);
  RangeGrantSystem::OnReleased(m_tables, command, outcome, handover,
                               ReadClocks());
}

void ControlThread::Execute(const ReadRowCommand& command) {
  RowsResult result = m_store->Read(command.m_table, command.m_key,
                                    m_settings.m_ownership.m_store_timeout);
  if (!AcceptEra(result.m_outcome, result.m_era)) {
    result = RowsResult();
  }
  if (command.m_era && *command.m_era != m_tables.GetEra()) {
    return;  // the systems have given up the calls of an older era
  }
  const Now now = ReadClocks();
  if (command.m_table == kLeaderLeaseTable) {
    LeadershipSystem::OnRead(m_tables, result, now);
  } else {
    const std::string key = DecodeEraKey(command.m_key).m_key;
    OwnersSystem::OnRead(m_tables,
                         key.substr(std::string_view(kOwnersPrefix).size()),
                         result, now);
  }
}

void ControlThread::Execute(const WriteRowCommand& command) {
  const RowWrite& write = command.m_write;
  WriteResult result =
      m_store->Write(write, m_settings.m_ownership.m_store_timeout);
  if (!AcceptEra(result.m_outcome, result.m_era)) {
    result = {StoreOutcome::kUnknown};
  }
  const EraKey key = DecodeEraKey(write.m_key);
  if (key.m_era != m_tables.GetEra()) {
    return;  // the systems have given up the calls of an older era
  }
  const Now now = ReadClocks();
  if (write.m_table == kLeaderLeaseTable) {
    LeadershipSystem::OnWritten(m_tables, result, now);
  } else if (key.m_key.starts_with(kOwnersPrefix)) {
    OwnersSystem::OnWritten(
        m_tables, key.m_key.substr(std::string_view(kOwnersPrefix).size()),
        result, now);
  } else if (key.m_key.starts_with(kRolloutRecordPrefix)) {
    RolloutSystem::OnRecordWritten(m_tables, write, result, now);
  } else {
    MemberSystem::OnMemberWritten(m_tables, write, result, now);
  }
}

void ControlThread::Execute(const ReadRolloutStatusCommand& command) {
  const RowWrite row = m_decoder.EncodeRolloutStatus(command.m_record);
  RowsResult result = m_store->Read(row.m_table, row.m_key,
                                    m_settings.m_ownership.m_store_timeout);
  if (!AcceptEra(result.m_outcome, result.m_era)) {
    result = RowsResult();
  }
  RolloutSystem::OnStatusRead(m_tables, command, result, ReadClocks());
}

void ControlThread::Execute(const WriteRolloutStatusCommand& command) {
  RowWrite write = m_decoder.EncodeRolloutStatus(command.m_record);
  write.m_expected_version = command.m_expected_version;
  WriteResult result =
      m_store->Write(write, m_settings.m_ownership.m_store_timeout);
  if (!AcceptEra(result.m_outcome, result.m_era)) {
    result = {StoreOutcome::kUnknown};
  }
  RolloutSystem::OnStatusWritten(m_tables, command, result, ReadClocks());
}

void ControlThread::Execute(const SendDatagramCommand& command) {
  const std::string bytes = EncodeMessage(command.m_message);
  for (const std::string& address : command.m_addresses) {
    boost::system::error_code failure;
    m_socket->send_to(boost::asio::buffer(bytes), ParseEndpoint(address), 0,
                      failure);
    // A datagram that can't be sent is treated as lost: the next one follows.
  }
}

}  // namespace foxtail
