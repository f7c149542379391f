#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include "gateway/control_thread.h"
#include "gateway/request_handler.h"
#include "runtime/http_server.h"
#include "runtime/mailbox.h"

namespace foxtail {

/// The traffic thread of a gateway: clients' connections, the readiness check
/// and the metrics.
class GatewayTrafficThread : public ControlListener, public AccessFreshness {
 public:
  GatewayTrafficThread(const GatewaySettings& settings,
                       const FrontEnd& front,
                       EventLog& events);
  ~GatewayTrafficThread() override;

  /// Starts the thread. `control` takes its reports and must outlive it.
  void Start(ControlThread& control);

  /// A planned stop: readiness fails, open connections are answered, then
  /// closed. Returns whether nothing was cut. The thread goes on until the
  /// process ends.
  bool Stop();

  void OnSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) override;
  void OnFreshness(BootTime operators_read_at) override;
  void OnLeaderWord(LeaderWord word) override;
  bool IsFresh() const override;

 private:
  void Run();
  void Listen(const HttpServerSettings& clients);
  bool StopServers();
  void ReportLoop();
  void SummaryLoop();
  HttpResponse Ready() const;
  HttpResponse MetricsText() const;
  std::chrono::milliseconds ConfigurationAge() const;
  void ApplyLimits();

  const GatewaySettings& m_settings;
  const FrontEnd& m_front_end;
  EventLog& m_events;
  ControlThread* m_control = nullptr;
  Metrics m_metrics;
  RequestLog m_log;
  std::unique_ptr<RequestHandler> m_handler;
  std::unique_ptr<HttpServer> m_clients;
  std::unique_ptr<HttpServer> m_ready;
  std::unique_ptr<HttpServer> m_metrics_server;
  Mailbox m_mailbox;
  FiberEvent m_report_wanted;
  bool m_report_urgent = false;
  uint64_t m_limits_version = 0;
  BootTime m_operators_read_at;
  bool m_stopping = false;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace foxtail
