#include "entry/traffic_thread.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "control/control_tables.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/metrics.h"
#include "entry/caller_handler.h"
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
constexpr milliseconds kRoutesPatience{10'000};
constexpr double kFixedTokens = 2;
constexpr size_t kBytesPerKib = 1024;
constexpr size_t kInternalConnectionLimit = 65536;
constexpr int kStatusUnavailable = 503;

DispatchStrategies StrategiesOf(const EntrySettings& settings) {
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

std::unique_ptr<ShareStrategy> ShareOf(const EntrySettings& settings) {
  if (settings.m_share == "fixed") {
    return std::make_unique<FixedShare>(kFixedTokens);
  }
  return std::make_unique<DemandShare>(kTokenHorizon);
}

HttpServerSettings CallerServerSettings(const EntrySettings& settings) {
  HttpServerSettings server;
  server.m_body_limit = settings.m_body_limit_kib * kBytesPerKib;
  server.m_connection_limit = settings.m_connection_limit;
  server.m_read_timeout = settings.m_read_timeout;
  server.m_reuse_port = settings.m_threads > 1;
  return server;
}

HttpServerSettings InternalServerSettings(const EntrySettings& settings) {
  HttpServerSettings server = CallerServerSettings(settings);
  server.m_connection_limit = kInternalConnectionLimit;
  server.m_reuse_port = false;
  return server;
}

}  // namespace

// Everything that lives on the thread.
class TrafficThread::Core {
 public:
  Core(TrafficThread& owner)
      : m_owner(owner),
        m_system(DispatchSettings(), StrategiesOf(owner.m_settings)),
        m_dispatcher(m_system,
                     owner.m_events,
                     m_metrics,
                     [&owner](const std::string& cell) {
                       owner.m_kick(owner.m_index, cell);
                     }),
        m_budget(ShareOf(owner.m_settings)),
        m_tokens(m_budget,
                 owner.m_name,
                 ParseAddressList(owner.m_settings.m_control),
                 owner.m_settings.m_cluster_secret,
                 owner.m_settings.m_token_wait),
        m_handler(owner.m_settings,
                  owner.m_name.m_address,
                  m_system,
                  m_dispatcher,
                  m_tokens,
                  m_access,
                  m_changed,
                  owner.m_events,
                  m_metrics),
        m_callers(
            ParseAddress(owner.m_settings.m_listen),
            CallerServerSettings(owner.m_settings),
            [this](HttpRequest& request) { return HandleCaller(request); }),
        m_internal(
            ParseAddress(owner.m_name.m_address),
            InternalServerSettings(owner.m_settings),
            [this](HttpRequest& request) { return HandleInternal(request); }) {}

  void Start() {
    m_callers.Start();
    m_internal.Start();
    StartFiber([this] { m_tokens.Loop(); });
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
             TimePoint sent) {
    const Now now = ReadClocks();
    m_system.OnReportAnswered(report);
    if (report.m_cell == kAccessCell) {
      ApplyAccess(response, sent, now);
    } else if (m_system.Apply(report.m_cell, response, sent, now)) {
      m_dispatcher.BounceWaiting();
      m_dispatcher.PumpAll();
      // Acknowledge new routes at once: a move may wait for it.
      if (response.m_routes) {
        m_owner.m_kick(m_owner.m_index, report.m_cell);
      }
    }
    m_changed.Notify();
  }

  void OnReportLost(const SyncRequest& report) {
    m_system.OnReportLost(report);
  }

  void FailHealth() { m_healthy = false; }

  size_t CountHeld() {
    const TimePoint now = Clock::now();
    size_t held = 0;
    m_system.GetTables().m_servers.ForEach(
        [&](auto, const DispatchServerRow& server) {
          held += now < server.m_lease_until || server.m_running > 0;
        });
    // What was let go must also be reported, with the memories of it.
    m_system.GetTables().m_cells.ForEach([&](auto, const TrafficCellRow& cell) {
      held += cell.m_memories.size();
    });
    return held;
  }

  bool Stop(Duration timeout) {
    const TimePoint until = Clock::now() + timeout;
    const bool callers = m_callers.Stop(timeout);
    const bool internal =
        m_internal.Stop(std::max(Duration::zero(), until - Clock::now()));
    m_stopping = true;
    m_tokens.Stop();
    while (m_fibers > 0 && Clock::now() < until) {
      boost::this_fiber::sleep_for(kTickPeriod);
    }
    return callers && internal;
  }

 private:
  HttpResponse HandleCaller(HttpRequest& request) {
    if (request.m_target == "/health") {
      return Health();
    }
    return m_handler.Handle(request);
  }

  // The balancer sends callers elsewhere once this fails.
  HttpResponse Health() const {
    HttpResponse response;
    const bool ready = m_healthy && m_access.m_index &&
                       Clock::now() < m_access.m_fresh_until && HasRoutes();
    response.m_status = ready ? response.m_status : kStatusUnavailable;
    response.m_body = ready ? "ready\n" : "not ready\n";
    return response;
  }

  // A new entry takes callers once it can route to every service; a service
  // without a controller holds it up for a while only.
  bool HasRoutes() const {
    if (Clock::now() >= m_started + kRoutesPatience) {
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
      const DispatchQuery query = TakeDispatchQuery(request, Clock::now());
      return m_dispatcher.Dispatch(query, request);
    } catch (const Error& error) {
      return DispatchErrorResponse(error);
    }
  }

  void ApplyAccess(const SyncResponse& response,
                   TimePoint sent,
                   const Now& now) {
    const bool older = response.m_control_epoch < m_access_epoch ||
                       response.m_config_version < m_access_version;
    if (response.m_status != SyncStatus::kOk || older ||
        now.m_steady >= sent + response.m_authority_left) {
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
        m_access.m_fresh_until, sent + m_owner.m_settings.m_access_lifetime);
  }

  void TickLoop() {
    ++m_fibers;
    while (!m_stopping) {
      boost::this_fiber::sleep_for(kTickPeriod);
      Tick(ReadClocks());
    }
    --m_fibers;
  }

  // The update of the traffic state. Requests do not wait for it.
  void Tick(const Now& now) {
    const bool drained = m_system.Expire(now);  // 1. Drop what is over.
    m_dispatcher.BounceWaiting();               // 2. Lapsed leases.
    m_dispatcher.PumpAll();                     // 3. Slots that came free.
    NoteStaleAccess(now);                       // 4. Word on API keys.
    if (drained) {                              // 5. Tell the controllers.
      m_system.GetTables().m_cells.ForEach(
          [&](auto, const TrafficCellRow& cell) {
            m_owner.m_kick(m_owner.m_index, cell.m_name);
          });
    }
  }

  void NoteStaleAccess(const Now& now) {
    const bool stale =
        m_access.m_index && now.m_steady >= m_access.m_fresh_until;
    if (stale && !m_was_stale) {
      const auto age = std::chrono::duration_cast<milliseconds>(
          m_owner.m_settings.m_access_lifetime);
      m_owner.m_events.Write(EventNumber::kAccessStale,
                             {{"milliseconds", age.count()}});
    }
    m_was_stale = stale;
  }

  TrafficThread& m_owner;
  Metrics m_metrics;
  FiberEvent m_changed;
  AccessState m_access;
  uint64_t m_access_epoch = 0;
  uint64_t m_access_version = 0;
  DispatchSystem m_system;
  Dispatcher m_dispatcher;
  TokenBudget m_budget;
  TokenClient m_tokens;
  CallerHandler m_handler;
  HttpServer m_callers;
  HttpServer m_internal;
  TimePoint m_started = Clock::now();
  bool m_healthy = true;
  bool m_stopping = false;
  bool m_was_stale = false;
  int m_fibers = 0;
};

TrafficThread::TrafficThread(
    const EntrySettings& settings,
    uint32_t index,
    EventLog& events,
    std::function<void(uint32_t, const std::string&)> kick)
    : m_settings(settings),
      m_index(index),
      m_events(events),
      m_kick(std::move(kick)) {
  Address address = ParseAddress(settings.m_internal);
  address.m_port = static_cast<uint16_t>(address.m_port + index);
  m_name = {address.ToString(), RandomToken()};
}

TrafficThread::~TrafficThread() {
  if (m_thread.joinable()) {
    m_mailbox.Close();
    m_thread.join();
  }
}

void TrafficThread::Start() {
  // Shared, because the new thread may still be inside `set_value` when this
  // one goes on.
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
  request.m_dispatcher = m_name;
  request.m_data_centre = m_settings.m_data_centre;
  return request;
}

void TrafficThread::Apply(const SyncRequest& report,
                          const SyncResponse& response,
                          TimePoint sent) {
  m_mailbox.Call([&] { m_core->Apply(report, response, sent); });
}

void TrafficThread::OnReportLost(const SyncRequest& report) {
  m_mailbox.Call([&] { m_core->OnReportLost(report); });
}

void TrafficThread::FailHealth() {
  m_mailbox.Call([&] { m_core->FailHealth(); });
}

size_t TrafficThread::CountHeld() {
  return m_mailbox.Call([&] { return m_core->CountHeld(); });
}

bool TrafficThread::Stop(Duration timeout) {
  const bool clean = m_mailbox.Call([&] { return m_core->Stop(timeout); });
  m_mailbox.Close();
  m_thread.join();
  return clean;
}

}  // namespace foxtail
