#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include "gateway/control_thread.h"
#include "gateway/report_schedule.h"
#include "gateway/request_handler.h"
#include "gateway/shared_scheduling.h"
#include "gateway/stall_detector.h"
#include "runtime/http_server.h"
#include "runtime/mailbox.h"
#include "runtime/resource_account.h"

namespace foxtail {

/// The traffic thread of a gateway: serves clients' connections, the readiness
/// check and the metrics.
class GatewayTrafficThread : public ControlListener, public AccessFreshness {
 public:
  GatewayTrafficThread(const GatewaySettings& settings,
                       const FrontEnd& front_end,
                       EventLog& events);
  ~GatewayTrafficThread() override;

  /// Starts the thread. `control` receives its reports and must outlive it.
  void Start(ControlThread& control);

  /// Shuts down gracefully: readiness checks fail, requests on open connections
  /// are completed, then the connections are closed. Snapshots still apply
  /// meanwhile. Returns false if a connection had to be cut off, or if the
  /// thread does not respond. The thread runs until the process ends.
  bool Stop();

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) override;
  void OnFreshness(BootTime configuration_read_at) override;
  void OnLeaderTokens(LeaderTokens tokens) override;
  void CheckProgress() override;
  bool IsFresh() const override;

 private:
  void Run();
  void OpenListeners();
  std::unique_ptr<HttpServer> Listen(const std::string& address,
                                     const HttpServerSettings& settings,
                                     const HttpServer::Handler& handler,
                                     std::shared_ptr<ResourceAccount> account);
  bool StopServers();
  void ReportLoop();
  void SummaryLoop();
  void ResourceLoop();
  void LogResources();
  std::string BuildResourceMetrics() const;
  HttpResponse BuildReadinessResponse() const;
  HttpResponse BuildMetricsResponse() const;
  std::chrono::milliseconds ConfigurationAge() const;
  void ApplyLimits();

  const GatewaySettings& m_settings;
  const FrontEnd& m_front_end;
  EventLog& m_events;
  ControlThread* m_control = nullptr;
  Metrics m_metrics;
  RequestLog m_request_log;
  std::unique_ptr<SharedScheduling> m_scheduling;
  std::shared_ptr<ResourceAccount> m_account;

  /// Refusals and closed connections of the account at the last summary.
  uint64_t m_logged_refusals = 0;
  uint64_t m_logged_closed = 0;
  std::unique_ptr<RequestHandler> m_handler;
  std::unique_ptr<HttpServer> m_client_server;
  std::unique_ptr<HttpServer> m_readiness_server;
  std::unique_ptr<HttpServer> m_metrics_server;
  Mailbox m_mailbox;
  ReportSchedule m_report_schedule;

  /// Notified when the time of the next report may have changed.
  FiberEvent m_report_due;
  uint64_t m_limits_version = 0;
  BootTime m_configuration_read_at;

  /// All listeners are open.
  bool m_listening = false;
  bool m_shutting_down = false;
  bool m_stopping = false;

  /// When the thread last ran a fiber that runs regularly.
  std::atomic<TimePoint> m_last_run_at;

  /// Used on the control thread, which counts what the metrics show.
  StallDetector m_stall_detector;
  std::atomic<uint64_t> m_stalls = 0;
  std::atomic<std::chrono::milliseconds> m_longest_stall{};
  std::thread m_thread;
};

}  // namespace foxtail
