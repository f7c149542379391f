#include "gateway/control_thread.h"

#include <boost/fiber/operations.hpp>
#include <cstdlib>
#include <random>

#include "core/digest.h"
#include "core/error.h"
#include "gateway/gateway_tick.h"
#include "gateway/grant_order_system.h"
#include "gateway/leadership_system.h"
#include "gateway/member_system.h"
#include "gateway/owners_system.h"
#include "gateway/relay_system.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

namespace foxtail {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// A watch tells of changes at once and needs no answer in between; probes tell
// whether it still hears.
constexpr std::chrono::seconds kWatchWait{25};

// Servers register and report one by one.
constexpr milliseconds kServerGather{250};
constexpr milliseconds kClusterGather{20};

// Pause between looks whether a probe is due, and wait of a probe.
constexpr milliseconds kProbeCheck{300};
constexpr milliseconds kProbeWait{1};

// A watch that failed is repeated after a pause between these.
constexpr int kShortestPause = 100;  // milliseconds
constexpr int kLongestPause = 250;   // milliseconds

constexpr size_t kDatagramLimit = 60 * 1024;  // bytes

udp::endpoint EndpointOf(const std::string& text) {
  const Address address = ParseAddress(text);
  return {boost::asio::ip::make_address(address.m_host), address.m_port};
}

void PauseAfterFailure() {
  thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<int> pause(kShortestPause, kLongestPause);
  boost::this_fiber::sleep_for(milliseconds(pause(random)));
}

}  // namespace

ControlThread::ControlThread(const GatewaySettings& settings,
                             const DirectoryDecoder& decoder,
                             ControlPorts ports,
                             ControlListener& listener,
                             EventLog& events)
    : m_settings(settings),
      m_directory(decoder),
      m_ports(std::move(ports)),
      m_listener(listener),
      m_events(events) {
  m_tables.m_settings = settings.m_ownership;
  m_tables.m_self = {settings.m_internal, RandomToken(), settings.m_data_centre,
                     ProcessorShareOf(settings)};
  m_watched = {{kOperatorRows, decoder.OperatorTable(),
                &DirectorySystem::OnOperatorRows},
               {kServerRows, decoder.ServerTable(),
                &DirectorySystem::OnServerRows, kServerGather},
               {kClusterRows, kClusterTable, &DirectorySystem::OnClusterRows,
                kClusterGather}};
}

ControlThread::~ControlThread() = default;

void ControlThread::Start() {
  m_thread = std::thread([this] { Run(); });
}

void ControlThread::Leave() {
  m_mailbox.Post([this] {
    m_tables.m_stopping = true;
    m_tables.m_lead.m_next_operation = TimePoint();
    Wake();
  });
}

void ControlThread::Report(MemberReport report) {
  m_mailbox.Post([this, report = std::move(report)]() mutable {
    MemberSystem::SendReport(m_tables, std::move(report), ReadClocks());
    Flush();
  });
}

void ControlThread::Run() {
  InstallFiberScheduler();
  m_store = m_ports.m_make_store();
  m_orders = m_ports.m_make_orders();
  OpenSocket();
  m_tables.m_started = Clock::now();
  for (WatchedTable& table : m_watched) {
    StartFiber([this, &table] { Watch(table); });
  }
  StartFiber([this] { ProbeLoop(); });
  StartFiber([this] { ReceiveLoop(); });
  StartFiber([this] { TickLoop(); });
  m_mailbox.Loop();
  m_stopping = true;
}

void ControlThread::OpenSocket() {
  m_socket = std::make_unique<udp::socket>(ThreadIoContext(), udp::v4());
  boost::system::error_code failure;
  m_socket->bind(EndpointOf(m_settings.m_internal), failure);
  if (failure) {
    m_events.Write(EventNumber::kInternalFailure,
                   {{"error", "cannot receive at " + m_settings.m_internal +
                                  ": " + failure.message()}});
    std::quick_exit(EXIT_FAILURE);
  }
}

void ControlThread::Watch(WatchedTable& table) {
  while (!m_stopping) {
    if (table.m_read && !RelaySystem::MustWatch(m_tables, ReadClocks())) {
      // Own trouble with the store no longer matters.
      table.m_failing = false;
      m_watch_wanted.WaitUntil(m_tables.m_relayed_until);
    } else if (!WatchOnce(table)) {
      PauseAfterFailure();
    }
  }
}

bool ControlThread::WatchOnce(WatchedTable& table) {
  const BootTime sent = BootClock::now();
  const bool complete = !table.m_read;
  const uint64_t version = m_tables.m_progress[table.m_kind].m_read_up_to;
  const RowsResult result =
      complete ? m_store->Read(table.m_name, "",
                               m_settings.m_ownership.m_store_timeout)
               : m_store->Watch(table.m_name, version, kWatchWait);
  const bool taken = TakeResult(table, result, complete, sent);
  if (taken && !result.m_rows.empty()) {
    boost::this_fiber::sleep_for(table.m_gather);
  }
  return taken;
}

bool ControlThread::TakeResult(WatchedTable& table,
                               const RowsResult& result,
                               bool complete,
                               BootTime sent) {
  if (result.m_outcome == StoreOutcome::kHistoryLost) {
    table.m_read = false;
    return true;
  }
  const bool answered = result.m_outcome == StoreOutcome::kDone;
  NoteContact(table, answered, result.m_outcome);
  WatchProgress& progress = m_tables.m_progress[table.m_kind];
  if (!answered) {
    return false;
  }
  // An answer from before an earlier one would take changes back.
  if (result.m_version < progress.m_read_up_to) {
    return !complete;
  }
  table.m_read = true;
  progress.m_read_at = std::max(progress.m_read_at, sent);
  if (table.m_kind == kOperatorRows) {
    m_tables.m_operators_read_at = std::max(m_tables.m_operators_read_at, sent);
  }
  if (complete) {
    m_events.Write(EventNumber::kDirectoryRead,
                   {{"table", table.m_name},
                    {"rows", result.m_rows.size()},
                    {"version", result.m_version}});
  } else {
    RelaySystem::OnRead(m_tables, table.m_kind, progress.m_newest_change,
                        result, ReadClocks());
  }
  TakeRows(table, result, complete);
  return true;
}

void ControlThread::TakeRows(WatchedTable& table,
                             const RowsResult& result,
                             bool complete) {
  m_tables.m_progress[table.m_kind].NoteRows(result, complete);
  if (complete || !result.m_rows.empty()) {
    (m_directory.*table.m_apply)(m_tables, result.m_rows, complete,
                                 ReadClocks());
    Wake();
  }
  Flush();
}

void ControlThread::TakeNews(RowsNews news) {
  const uint32_t kind = news.m_kind;
  const auto rows =
      RelaySystem::OnNews(m_tables, std::move(news), ReadClocks());
  if (rows && m_watched[kind].m_read) {
    TakeRows(m_watched[kind], *rows, false);
  }
}

// A watch may have gone silent without notice, and its silence says nothing
// about how fresh the configuration is.
void ControlThread::ProbeLoop() {
  while (!m_stopping) {
    for (WatchedTable& table : m_watched) {
      if (!table.m_read ||
          !RelaySystem::IsProbeDue(m_tables, table.m_kind, ReadClocks())) {
        continue;
      }
      const BootTime sent = BootClock::now();
      const uint64_t version = m_tables.m_progress[table.m_kind].m_read_up_to;
      TakeResult(table, m_store->Watch(table.m_name, version, kProbeWait),
                 false, sent);
    }
    boost::this_fiber::sleep_for(kProbeCheck);
  }
}

void ControlThread::NoteContact(WatchedTable& table,
                                bool answered,
                                StoreOutcome outcome) {
  if (answered && table.m_failing) {
    m_tables.m_servers_contact_since = Clock::now();
    m_events.Write(EventNumber::kPlatformReachable, {{"table", table.m_name}});
  }
  if (!answered && !table.m_failing) {
    m_events.Write(EventNumber::kPlatformUnreachable,
                   {{"error", NameOf(outcome)}, {"table", table.m_name}});
  }
  table.m_failing = !answered;
}

void ControlThread::TickLoop() {
  while (!m_stopping) {
    Tick();
    m_wake.WaitUntil(m_tables.m_next_due);
  }
}

void ControlThread::Tick() {
  RunGatewayTick(m_tables, ReadClocks());
  Flush();
  if (m_tables.IsLeading(ReadClocks())) {
    m_watch_wanted.Notify();
  }
}

// Carries out what systems asked for.
void ControlThread::Flush() {
  for (const PendingEvent& event : std::exchange(m_tables.m_events, {})) {
    m_events.Write(event.m_number, event.m_fields);
  }
  for (ControlCommand& command : std::exchange(m_tables.m_outbox, {})) {
    Carry(std::move(command));
  }
  for (LeaderWord& word : std::exchange(m_tables.m_leader_words, {})) {
    m_listener.OnLeaderWord(std::move(word));
  }
  if (std::exchange(m_tables.m_snapshot_due, false)) {
    m_listener.OnSnapshot(BuildSnapshot(m_tables));
  }
  // Only after the snapshot with what that read brought: a withdrawn key must
  // not be admitted as freshly known.
  if (m_published_read_at != m_tables.m_operators_read_at) {
    m_published_read_at = m_tables.m_operators_read_at;
    m_listener.OnFreshness(m_published_read_at);
  }
}

void ControlThread::Wake() {
  m_wake.Notify();
}

void ControlThread::ReceiveLoop() {
  std::string buffer(kDatagramLimit, '\0');
  while (!m_stopping) {
    udp::endpoint sender;
    FiberWait wait;
    m_socket->async_receive_from(boost::asio::buffer(buffer), sender,
                                 wait.Handler());
    if (wait.Wait()) {
      // A port without a listener at a peer shows here; nothing is lost by it.
      PauseAfterFailure();
      continue;
    }
    OnDatagram(buffer.substr(0, wait.GetBytes()));
  }
}

void ControlThread::OnDatagram(const std::string& bytes) {
  const Now now = ReadClocks();
  try {
    ClusterMessage message = DecodeClusterMessage(bytes);
    if (const auto* report = std::get_if<MemberReport>(&message)) {
      if (auto digest = MemberSystem::OnReport(m_tables, *report, now)) {
        CarryOut(SendCommand{{report->m_address}, std::move(*digest)});
      }
      return;
    }
    if (auto* news = std::get_if<RowsNews>(&message)) {
      TakeNews(std::move(*news));
      return;
    }
    const auto& digest = std::get<LeaderDigest>(message);
    LeadershipSystem::OnDigest(m_tables, digest, now);
    MemberSystem::OnDigest(m_tables, digest, now);
    Flush();
    if (digest.m_leaving) {
      Wake();
    }
  } catch (const Error& failure) {
    m_events.Write(EventNumber::kInternalFailure, {{"error", failure.what()}});
  }
}

void ControlThread::Carry(ControlCommand command) {
  StartFiber([this, command = std::move(command)] {
    std::visit([this](const auto& kind) { CarryOut(kind); }, command);
    Wake();
  });
}

void ControlThread::CarryOut(const GrantCommand& command) {
  const OrderOutcome outcome = m_orders->Grant(
      command.m_address, command.m_keys, command.m_fence, command.m_hold,
      command.m_handover, m_settings.m_ownership.m_order_timeout);
  GrantOrderSystem::OnGranted(m_tables, command, outcome, ReadClocks());
}

void ControlThread::CarryOut(const ReleaseCommand& command) {
  std::string handover;
  const OrderOutcome outcome =
      m_orders->Release(command.m_address, command.m_keys, command.m_fence,
                        command.m_timeout, handover);
  GrantOrderSystem::OnReleased(m_tables, command, outcome, handover,
                               ReadClocks());
}

void ControlThread::CarryOut(const ReadRowCommand& command) {
  const RowsResult result = m_store->Read(
      command.m_table, command.m_key, m_settings.m_ownership.m_store_timeout);
  const Now now = ReadClocks();
  if (command.m_table == kLeadTable) {
    LeadershipSystem::OnRead(m_tables, result, now);
  } else {
    OwnersSystem::OnRead(
        m_tables, command.m_key.substr(std::string_view(kOwnersPrefix).size()),
        result, now);
  }
}

void ControlThread::CarryOut(const WriteRowCommand& command) {
  const RowWrite& write = command.m_write;
  const WriteResult result =
      m_store->Write(write, m_settings.m_ownership.m_store_timeout);
  const Now now = ReadClocks();
  if (write.m_table == kLeadTable) {
    LeadershipSystem::OnWritten(m_tables, result, now);
  } else if (write.m_key.starts_with(kOwnersPrefix)) {
    OwnersSystem::OnWritten(
        m_tables, write.m_key.substr(std::string_view(kOwnersPrefix).size()),
        result, now);
  } else {
    MemberSystem::OnMemberWritten(m_tables, write, result, now);
  }
}

void ControlThread::CarryOut(const SendCommand& command) {
  const std::string bytes = EncodeMessage(command.m_message);
  for (const std::string& address : command.m_addresses) {
    boost::system::error_code failure;
    m_socket->send_to(boost::asio::buffer(bytes), EndpointOf(address), 0,
                      failure);
    // A datagram that was not sent is like one that was lost: the next follows.
  }
}

}  // namespace foxtail
