#include "entry/traffic_thread.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "control/control_tables.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/metrics.h"
#include "entry/client_handler.h"
#include "entry/dispatcher.h"
#include "entry/forwarding.h"
#include "entry/token_client.h"
#include "runtime/address_list.h"
#include "runtime/cluster_request.h"
#include "runtime/error_response.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_server.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{10};
constexpr milliseconds kTokenHorizon{100};
constexpr milliseconds kRoutesTimeout{10'000};
constexpr double kFixedStock = 2;
constexpr size_t kBytesPerKib = 1024;
constexpr size_t kInternalConnectionLimit = 65536;
constexpr int kStatusUnavailable = 503;

DispatchStrategies MakeStrategies(const EntrySettings& settings) {
  DispatchStrategies strategies;
  if (settings.m_queue == "fifo") {
    strategies.m_queue = [] { return std::make_unique<FifoQueue>(); };
  } else {
    strategies.m_queue = [] { return std::make_unique<FairQueue>(); };
  }
  if (settings.m_limit == "fixed") {
    strategies.m_limit = [] { return std::make_unique<FixedLimit>(); };
  } else {
    strategies.m_limit = [] {
      return std::make_unique<RampLimit>(RampSettings());
    };
  }
  return strategies;
}

std::unique_ptr<ShareStrategy> MakeShareStrategy(
    const EntrySettings& settings) {
  if (settings.m_share == "fixed") {
    return std::make_unique<FixedShare>(kFixedStock);
  }
  return std::make_unique<DemandShare>(kTokenHorizon);
}

HttpServerSettings ClientServerSettings(const EntrySettings& settings) {
  HttpServerSettings server;
  server.m_body_limit = settings.m_body_limit_kib * kBytesPerKib;
  server.m_connection_limit = settings.m_connection_limit;
  server.m_read_timeout = settings.m_read_timeout;
  server.m_reuse_port = settings.m_threads > 1;
  return server;
}

HttpServerSettings InternalServerSettings(const EntrySettings& settings) {
  HttpServerSettings server = ClientServerSettings(settings);
  server.m_connection_limit = kInternalConnectionLimit;
  server.m_reuse_port = false;
  return server;
}

}  // namespace

// The state that belongs to the thread; used on this thread only.
class TrafficThread::Core {
 public:
  Core(TrafficThread& owner)
      : m_owner(owner),
        m_system(DispatchSettings(), MakeStrategies(owner.m_settings)),
        m_dispatcher(m_system,
                     owner.m_events,
                     m_metrics,
                     [&owner](const std::string& cell) {
                       owner.m_trigger_report(owner.m_index, cell);
                     }),
        m_budget(MakeShareStrategy(owner.m_settings)),
        m_token_client(m_budget,
                       owner.m_identity,
                       ParseAddressList(owner.m_settings.m_control),
                       owner.m_settings.m_cluster_secret,
                       owner.m_settings.m_token_wait),
        m_handler(owner.m_settings,
                  owner.m_identity.m_address,
                  m_system,
                  m_dispatcher,
                  m_token_client,
                  m_access,
                  m_state_changed,
                  owner.m_events,
                  m_metrics),
        m_client_server(
            ParseAddress(owner.m_settings.m_listen),
            ClientServerSettings(owner.m_settings),
            [this](HttpRequest& request) { return HandleClient(request); }),
        m_internal_server(
            ParseAddress(owner.m_identity.m_address),
            InternalServerSettings(owner.m_settings),
            [this](HttpRequest& request) { return HandleInternal(request); }) {}

  void Start() {
    m_client_server.Start();
    m_internal_server.Start();
    StartFiber([this] { m_token_client.Loop(); });
    StartFiber([this] { TickLoop(); });
  }

  SyncRequest BuildReport(const std::string& cell) {
    SyncRequest request;
    request.m_cell = cell;
    if (cell == kAccessCell) {
      request.m_control_epoch = m_access_epoch;
      request.m_config_version =
          m_access.m_index ? m_access.m_index->GetVersion() : 0;
    } else {
      m_system.FillReport(cell, request, ReadClocks());
    }
    return request;
  }

  void Apply(const SyncRequest& report,
             const SyncResponse& response,
             TimePoint sent_at) {
    const Now now = ReadClocks();
    m_system.OnReportAcknowledged(report);
    if (report.m_cell == kAccessCell) {
      ApplyAccess(response, sent_at, now);
    } else if (m_system.Apply(report.m_cell, response, sent_at, now)) {
      m_dispatcher.RejectUnsendable();
      m_dispatcher.DispatchAllWaiting();
      // New routes are acknowledged immediately, because a partition move may
      // wait for the acknowledgement.
      if (response.m_routes) {
        m_owner.m_trigger_report(m_owner.m_index, report.m_cell);
      }
    }
    m_state_changed.Notify();
  }

  void OnReportLost(const SyncRequest& report) {
    m_system.OnReportLost(report);
  }

  void FailHealth() { m_healthy = false; }

  size_t CountUnreleased() {
    const TimePoint now = Clock::now();
    size_t unreleased = 0;
    m_system.GetTables().m_servers.ForEach(
        [&](auto, const DispatchServerRow& server) {
          unreleased += now < server.m_lease_until || server.m_running > 0;
        });
    // Released partitions count until their deduplication state was reported.
    m_system.GetTables().m_cells.ForEach([&](auto, const TrafficCellRow& cell) {
      unreleased += cell.m_dedup_states.size();
    });
    return unreleased;
  }

  bool Stop(Duration timeout) {
    const TimePoint until = Clock::now() + timeout;
    const bool clients_done = m_client_server.Stop(timeout);
    const bool internal_done = m_internal_server.Stop(
        std::max(Duration::zero(), until - Clock::now()));
    m_stopping = true;
    m_token_client.Stop();
    while (m_running_fibers > 0 && Clock::now() < until) {
      boost::this_fiber::sleep_for(kTickPeriod);
    }
    return clients_done && internal_done;
  }

 private:
  HttpResponse HandleClient(HttpRequest& request) {
    if (request.m_target == "/health") {
      return Health();
    }
    return m_handler.Handle(request);
  }

  // The load balancer sends clients elsewhere once the health check fails.
  HttpResponse Health() const {
    HttpResponse response;
    const bool ready = m_healthy && m_access.m_index &&
                       Clock::now() < m_access.m_fresh_until && HasRoutes();
    response.m_status = ready ? response.m_status : kStatusUnavailable;
    response.m_body = ready ? "ready\n" : "not ready\n";
    return response;
  }

  // A new entry accepts clients once it has routes for every service. A service
  // without a controller delays this by `kRoutesTimeout` at most.
  bool HasRoutes() const {
    if (Clock::now() >= m_started_at + kRoutesTimeout) {
      return true;
    }
    const TrafficTables& tables = m_system.GetTables();
    return std::ranges::all_of(
        m_access.m_index->GetView().m_services, [&](const std::string& name) {
          const TrafficCellRow* cell =
              tables.m_cells.Find(FindCell(tables, name));
          return cell && cell->m_routes;
        });
  }

  HttpResponse HandleInternal(HttpRequest& request) {
    if (request.m_method == "GET" && request.m_target == "/metrics") {
      HttpResponse response;
      response.m_headers.Set("content-type", "text/plain; version=0.0.4");
      response.m_body = m_metrics.Text();
      return response;
    }
    try {
      RequireClusterSecret(request, m_owner.m_settings.m_cluster_secret);
      const DispatchQuery query = ExtractDispatchQuery(request, Clock::now());
      return m_dispatcher.Dispatch(query, request);
    } catch (const Error& error) {
      return BuildDispatchErrorResponse(error);
    }
  }

  void ApplyAccess(const SyncResponse& response,
                   TimePoint sent_at,
                   const Now& now) {
    const bool older = response.m_control_epoch < m_access_epoch ||
                       response.m_config_version < m_access_version;
    if (response.m_status != SyncStatus::kOk || older ||
        now.m_steady >= sent_at + response.m_authority_ttl) {
      return;
    }
    if (response.m_access) {
      m_access.m_index = std::make_shared<AccessIndex>(response.m_access);
    }
    if (!m_access.m_index ||
        m_access.m_index->GetVersion() != response.m_config_version) {
      return;
    }
    m_access_epoch = response.m_control_epoch;
    m_access_version = response.m_config_version;
    m_access.m_fresh_until = std::max(
        m_access.m_fresh_until, sent_at + m_owner.m_settings.m_access_lifetime);
  }

  void TickLoop() {
    ++m_running_fibers;
    while (!m_stopping) {
      boost::this_fiber::sleep_for(kTickPeriod);
      Tick(ReadClocks());
    }
    --m_running_fibers;
  }

  // Updates the traffic state; runs once per tick. Requests do not wait for it.
  void Tick(const Now& now) {
    const bool drained = m_system.Expire(now);  // 1. Remove expired rows.
    m_dispatcher.RejectUnsendable();            // 2. Apply lease expiry.
    m_dispatcher.DispatchAllWaiting();          // 3. Use free slots.
    LogStaleAccess(now);                        // 4. Check API key data.
    if (drained) {                              // 5. Report the drain.
      m_system.GetTables().m_cells.ForEach(
          [&](auto, const TrafficCellRow& cell) {
            m_owner.m_trigger_report(m_owner.m_index, cell.m_name);
          });
    }
  }

  void LogStaleAccess(const Now& now) {
    const bool stale =
        m_access.m_index && now.m_steady >= m_access.m_fresh_until;
    if (stale && !m_access_was_stale) {
      const auto age = std::chrono::duration_cast<milliseconds>(
          m_owner.m_settings.m_access_lifetime);
      m_owner.m_events.Write(EventNumber::kAccessStale,
                             {{"milliseconds", age.count()}});
    }
    m_access_was_stale = stale;
  }

  TrafficThread& m_owner;
  Metrics m_metrics;
  FiberEvent m_state_changed;
  AccessState m_access;
  uint64_t m_access_epoch = 0;
  uint64_t m_access_version = 0;
  DispatchSystem m_system;
  Dispatcher m_dispatcher;
  TokenBudget m_budget;
  TokenClient m_token_client;
  ClientHandler m_handler;
  HttpServer m_client_server;
  HttpServer m_internal_server;
  TimePoint m_started_at = Clock::now();
  bool m_healthy = true;
  bool m_stopping = false;
  bool m_access_was_stale = false;
  int m_running_fibers = 0;
};

TrafficThread::TrafficThread(
    const EntrySettings& settings,
    uint32_t index,
    EventLog& events,
    std::function<void(uint32_t, const std::string&)> trigger_report)
    : m_settings(settings),
      m_index(index),
      m_events(events),
      m_trigger_report(std::move(trigger_report)) {
  Address address = ParseAddress(settings.m_internal);
  address.m_port = static_cast<uint16_t>(address.m_port + index);
  m_identity = {address.ToString(), RandomToken()};
}

TrafficThread::~TrafficThread() {
  if (m_thread.joinable()) {
    m_mailbox.Close();
    m_thread.join();
  }
}

void TrafficThread::Start() {
  // The promise is shared, because the new thread may still be inside
  // `set_value` when this thread continues.
  auto started = std::make_shared<StartPromise>();
  auto outcome = started->get_future();
  m_thread = std::thread([this, started] { Run(*started); });
  if (const std::exception_ptr failure = outcome.get()) {
    m_thread.join();
    std::rethrow_exception(failure);
  }
}

void TrafficThread::Run(StartPromise& started) {
  InstallFiberScheduler();
  std::unique_ptr<Core> core;
  try {
    core = std::make_unique<Core>(*this);
    core->Start();
  } catch (const Error&) {
    started.set_value(std::current_exception());
    return;
  }
  m_core = core.get();
  started.set_value(nullptr);
  m_mailbox.Loop();
}

SyncRequest TrafficThread::BuildReport(const std::string& cell) {
  SyncRequest request =
      m_mailbox.Call([this, &cell] { return m_core->BuildReport(cell); });
  request.m_dispatcher = m_identity;
  request.m_data_centre = m_settings.m_data_centre;
  return request;
}

void TrafficThread::Apply(const SyncRequest& report,
                          const SyncResponse& response,
                          TimePoint sent_at) {
  m_mailbox.Call([&] { m_core->Apply(report, response, sent_at); });
}

void TrafficThread::OnReportLost(const SyncRequest& report) {
  m_mailbox.Call([&] { m_core->OnReportLost(report); });
}

void TrafficThread::FailHealth() {
  m_mailbox.Call([&] { m_core->FailHealth(); });
}

size_t TrafficThread::CountUnreleased() {
  return m_mailbox.Call([&] { return m_core->CountUnreleased(); });
}

bool TrafficThread::Stop(Duration timeout) {
  const bool clean = m_mailbox.Call([&] { return m_core->Stop(timeout); });
  m_mailbox.Close();
  m_thread.join();
  return clean;
}

}  // namespace foxtail
