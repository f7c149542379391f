#include "gateway/gateway_traffic_thread.h"

#include <algorithm>
#include <boost/fiber/future/promise.hpp>
#include <boost/fiber/operations.hpp>
#include <cstdlib>

#include "core/error.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/process_resources.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Interval between traffic summaries in the log.
constexpr std::chrono::seconds kSummaryPeriod{5};

// An address that another socket has is tried again after this delay.
constexpr milliseconds kAddressRetryDelay{100};

// Time for the last responses before a graceful shutdown times out.
constexpr milliseconds kStopMargin{150};

// A thread that has not responded this long after a graceful shutdown timed out
// is given up.
constexpr milliseconds kStopResponseTime{200};

// The readiness check and the metrics have few clients.
constexpr size_t kMonitoringConnections = 16;

// Interval between measurements of the resident memory. Within it, a link of
// 200 Mbit/s delivers 2.5 MB.
constexpr milliseconds kMeasurePeriod{100};

// Returning free memory walks the whole heap.
constexpr std::chrono::seconds kMinReturnInterval{1};

constexpr uint64_t kBytesPerMegabyte = 1'000'000;

ResourceSettings BuildResourceSettings(const GatewaySettings& settings) {
  ResourceSettings resources;
  resources.m_memory_limit = settings.m_memory_limit > 0
                                 ? settings.m_memory_limit * kBytesPerMegabyte
                                 : ReadMachineMemory();
  resources.m_descriptor_limit = ReadDescriptorLimit();
  if (settings.m_descriptor_limit > 0) {
    resources.m_descriptor_limit = std::min<uint64_t>(
        resources.m_descriptor_limit, settings.m_descriptor_limit);
  }
  resources.m_connection_limit = settings.m_connection_limit;
  return resources;
}

HttpServerSettings MonitoringServerSettings() {
  HttpServerSettings settings;
  settings.m_connection_limit = kMonitoringConnections;
  return settings;
}

}  // namespace

GatewayTrafficThread::GatewayTrafficThread(const GatewaySettings& settings,
                                           const FrontEnd& front_end,
                                           EventLog& events)
    : m_settings(settings),
      m_front_end(front_end),
      m_events(events),
      m_request_log(events),
      m_account(
          std::make_shared<ResourceAccount>(BuildResourceSettings(settings))),
      m_report_schedule(m_settings.m_ownership) {}

GatewayTrafficThread::~GatewayTrafficThread() = default;

void GatewayTrafficThread::Start(ControlThread& control) {
  m_control = &control;
  m_last_run_at = Clock::now();
  m_thread = std::thread([this] { Run(); });
}

void GatewayTrafficThread::Run() {
  InstallFiberScheduler();
  m_scheduling = std::make_unique<SharedScheduling>(
      m_settings, [this](const std::string& failure) {
        m_events.Write(EventNumber::kInternalFailure, {{"error", failure}});
      });
  m_handler = std::make_unique<RequestHandler>(
      m_settings, m_front_end, *this, *m_scheduling, m_request_log, m_metrics);
  m_handler->UseAccount(m_account);
  m_handler->GetRateLimiter().SetOnTokensNeeded([this] {
    m_report_schedule.OnTokensNeeded();
    m_report_due.Notify();
  });
  m_handler->SetOnServerLeaving([this] {
    m_control->ReportLeavingServers(m_handler->TakeLeavingServers());
  });
  if (ParseSchedulingMode(m_settings) != SchedulingMode::kOwn) {
    StartFiber([this] { m_scheduling->Start(); });
  }
  StartFiber([this] { OpenListeners(); });
  StartFiber([this] { ReportLoop(); });
  StartFiber([this] { SummaryLoop(); });
  StartFiber([this] { ResourceLoop(); });
  m_mailbox.Loop();
}

// The clients' address comes last: a connection there is served at once.
void GatewayTrafficThread::OpenListeners() {
  m_readiness_server = Listen(
      m_settings.m_ready, MonitoringServerSettings(),
      [this](HttpRequest&) { return BuildReadinessResponse(); }, nullptr);
  m_metrics_server = Listen(
      m_settings.m_metrics, MonitoringServerSettings(),
      [this](HttpRequest&) { return BuildMetricsResponse(); }, nullptr);
  HttpServerSettings client_settings;
  client_settings.m_connection_limit = m_settings.m_connection_limit;
  m_client_server = Listen(
      m_settings.m_listen, client_settings,
      [this](HttpRequest& request) { return m_handler->Handle(request); },
      m_account);
  m_listening = m_client_server != nullptr;
  ApplyLimits();
}

// Starts a server. Waits while another socket has the address: an outgoing
// connection of another process may have got the port for a moment. Returns
// null if the process is stopped meanwhile.
std::unique_ptr<HttpServer> GatewayTrafficThread::Listen(
    const std::string& address,
    const HttpServerSettings& settings,
    const HttpServer::Handler& handler,
    std::shared_ptr<ResourceAccount> account) {
  bool reported = false;
  while (!m_shutting_down) {
    try {
      auto server = std::make_unique<HttpServer>(ParseAddress(address),
                                                 settings, handler);
      if (account) {
        server->UseAccount(std::move(account));
      }
      server->Start();
      return server;
    } catch (const AddressInUseError& failure) {
      if (!std::exchange(reported, true)) {
        m_events.Write(EventNumber::kAddressInUse, {{"error", failure.what()}});
      }
    } catch (const Error& failure) {
      m_events.Write(EventNumber::kInternalFailure,
                     {{"error", failure.what()}});
      std::quick_exit(EXIT_FAILURE);
    }
    boost::this_fiber::sleep_for(kAddressRetryDelay);
  }
  return nullptr;
}

void GatewayTrafficThread::OnSnapshot(
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  m_mailbox.Post([this, snapshot = std::move(snapshot)]() mutable {
    m_handler->OnSnapshot(std::move(snapshot));
    ApplyLimits();
  });
}

void GatewayTrafficThread::ApplyLimits() {
  const uint64_t version = m_handler->ConfigurationVersion();
  if (!m_listening || version == m_limits_version ||
      !m_handler->HasConfiguration()) {
    return;
  }
  m_limits_version = version;
  const RequestLimits& limits = m_handler->GetLimits();
  HttpServerSettings settings;
  settings.m_connection_limit = m_settings.m_connection_limit;
  settings.m_header_limit = limits.m_header_limit;
  settings.m_body_limit = limits.m_body_limit;
  settings.m_read_timeout = limits.m_header_timeout;
  settings.m_idle_timeout = limits.m_idle_timeout;
  m_client_server->SetLimits(settings);
}

milliseconds GatewayTrafficThread::ConfigurationAge() const {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                  m_configuration_read_at);
}

bool GatewayTrafficThread::IsFresh() const {
  return ConfigurationAge() < m_settings.m_access_lifetime;
}

HttpResponse GatewayTrafficThread::BuildReadinessResponse() const {
  HttpResponse response;
  const bool ready =
      !m_shutting_down && m_handler->HasConfiguration() && IsFresh();
  response.m_status = ready ? 200 : 503;
  return response;
}

HttpResponse GatewayTrafficThread::BuildMetricsResponse() const {
  HttpResponse response;
  response.m_headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.m_body =
      m_metrics.Text() + "foxtail_configuration_version " +
      std::to_string(m_handler->ConfigurationVersion()) +
      "\nfoxtail_configuration_age_ms " +
      std::to_string(ConfigurationAge().count()) + "\nfoxtail_in_flight " +
      std::to_string(m_handler->CountInFlight()) +
      "\nfoxtail_traffic_stalls_total " + std::to_string(m_stalls) +
      "\nfoxtail_traffic_longest_stall_ms " +
      std::to_string(m_longest_stall.load().count()) + "\n" +
      BuildResourceMetrics();
  return response;
}

std::string GatewayTrafficThread::BuildResourceMetrics() const {
  const ResourceAccount::State state = m_account->GetState();
  const std::pair<const char*, uint64_t> values[] = {
      {"held_bytes", state.m_held},
      {"capacity_bytes", state.m_capacity},
      {"resident_bytes", state.m_resident},
      {"connections", state.m_connections},
      {"server_connections", state.m_server_connections},
      {"refused_total", state.m_refused},
      {"closed_total", state.m_closed}};
  std::string text;
  for (const auto& [name, value] : values) {
    text += std::string("foxtail_resource_") + name + " " +
            std::to_string(value) + "\n";
  }
  return text;
}

void GatewayTrafficThread::OnFreshness(BootTime configuration_read_at) {
  m_mailbox.Post([this, configuration_read_at] {
    m_configuration_read_at = configuration_read_at;
  });
}

void GatewayTrafficThread::OnLeaderTokens(LeaderTokens tokens) {
  m_mailbox.Post([this, tokens = std::move(tokens)] {
    m_report_schedule.OnAnswer(tokens.m_report_sent_at);
    m_report_due.Notify();
    m_handler->GetRateLimiter().OnLeaderTokens(tokens);
  });
}

void GatewayTrafficThread::ReportLoop() {
  const Duration load_period = m_settings.m_ownership.m_load_report_period;
  TimePoint next_load_report_at = Clock::now() + load_period;
  while (!m_stopping) {
    const TimePoint now = Clock::now();
    const TimePoint next_report_at = m_report_schedule.FindNextReport();
    if (now < next_report_at) {
      m_report_due.WaitUntil(next_report_at);
      continue;
    }
    const bool with_loads = now >= next_load_report_at;
    if (with_loads) {
      next_load_report_at = now + load_period;
    }
    m_report_schedule.OnReport(now);
    m_control->Report(m_handler->CollectReport(now, with_loads));
    if (with_loads) {
      m_control->ReportRollouts(m_handler->CollectRolloutCounts());
    }
  }
}

void GatewayTrafficThread::SummaryLoop() {
  while (!m_stopping) {
    boost::this_fiber::sleep_for(kSummaryPeriod);
    m_handler->Expire(Clock::now());
    m_handler->LogAdmissions();
    m_handler->LogPermits();
    LogResources();
    m_request_log.LogSummary(m_handler->CountInFlight(), ConfigurationAge(),
                             m_handler->ConfigurationVersion());
  }
}

void GatewayTrafficThread::ResourceLoop() {
  TimePoint next_return_at = Clock::now();
  while (!m_stopping) {
    m_last_run_at = Clock::now();
    m_account->OnResidentMemory(ReadResidentMemory());
    if (m_account->ShouldReturnMemory() && Clock::now() >= next_return_at) {
      next_return_at = Clock::now() + kMinReturnInterval;
      ReturnFreeMemory();
      m_account->OnResidentMemory(ReadResidentMemory());
    }
    boost::this_fiber::sleep_for(kMeasurePeriod);
  }
}

// One line at most for each summary, whatever clients do.
void GatewayTrafficThread::LogResources() {
  const ResourceAccount::State state = m_account->GetState();
  const uint64_t refused = state.m_refused - m_logged_refusals;
  const uint64_t closed = state.m_closed - m_logged_closed;
  if (refused == 0 && closed == 0) {
    return;
  }
  m_logged_refusals = state.m_refused;
  m_logged_closed = state.m_closed;
  m_events.Write(EventNumber::kResourcesShort,
                 {{"refused", refused},
                  {"closed", closed},
                  {"held", state.m_held},
                  {"capacity", state.m_capacity},
                  {"resident", state.m_resident},
                  {"connections", state.m_connections},
                  {"server_connections", state.m_server_connections}});
}

void GatewayTrafficThread::CheckProgress() {
  const auto change =
      m_stall_detector.Check(m_last_run_at.load(), Clock::now());
  if (!change) {
    return;
  }
  const auto silence =
      std::chrono::duration_cast<milliseconds>(change->m_silence);
  m_stalls += change->m_stalled ? 1 : 0;
  m_longest_stall = std::max(m_longest_stall.load(), silence);
  m_events.Write(change->m_stalled ? EventNumber::kTrafficThreadStalled
                                   : EventNumber::kTrafficThreadResumed,
                 {{"silent_ms", silence.count()}});
}

bool GatewayTrafficThread::Stop() {
  auto all_answered = std::make_shared<boost::fibers::promise<bool>>();
  auto answered = all_answered->get_future();
  // The stop runs on a fiber of its own, so that the mailbox goes on to deliver
  // snapshots, and so does the call: the mailbox of a thread that has stalled
  // may be full.
  StartFiber([this, all_answered] {
    m_mailbox.Post([this, all_answered] {
      StartFiber(
          [this, all_answered] { all_answered->set_value(StopServers()); });
    });
  });
  if (answered.wait_for(m_settings.m_stop_timeout + kStopResponseTime) ==
      boost::fibers::future_status::ready) {
    return answered.get();
  }
  const auto silence = std::chrono::duration_cast<milliseconds>(
      Clock::now() - m_last_run_at.load());
  m_events.Write(EventNumber::kTrafficThreadStalled,
                 {{"silent_ms", silence.count()}});
  return false;
}

// The load balancer stops sending new connections only after its checks have
// failed; until then new connections are served.
bool GatewayTrafficThread::StopServers() {
  const TimePoint deadline = Clock::now() + m_settings.m_stop_timeout;
  m_shutting_down = true;
  if (!m_listening) {
    return true;  // no client was served
  }
  // A request that a server never answers would be cut off at the end.
  m_handler->LimitDeadlines(deadline - kStopMargin);
  m_scheduling->StopScheduling();
  m_client_server->StartDraining();
  boost::this_fiber::sleep_for(m_settings.m_stop_delay);
  const bool clean = m_client_server->Stop(deadline - Clock::now());
  m_readiness_server->Stop(Duration(0));
  m_metrics_server->Stop(Duration(0));
  m_stopping = true;
  return clean;
}

}  // namespace foxtail
