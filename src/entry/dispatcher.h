#pragma once

#include <functional>
#include <unordered_map>

#include "core/event.h"
#include "core/metrics.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/dispatch_system.h"

namespace foxtail {

/// Sends requests to backend servers as `DispatchSystem` decides, on the fibers
/// of one traffic thread.
class Dispatcher {
 public:
  /// `trigger_report(cell)` is called when the controller should hear from this
  /// thread at once.
  Dispatcher(DispatchSystem& system,
             EventLog& events,
             Metrics& metrics,
             std::function<void(const std::string&)> trigger_report);

  /// Runs one request at its backend server and returns the server's answer.
  /// Throws the typed failures of admission and sending.
  HttpResponse Dispatch(const DispatchQuery& query, const HttpRequest& request);

  /// Wakes requests that wait for a server they may no longer be sent to.
  void RejectUnsendable();

  /// Gives free slots to waiting requests of all servers.
  void DispatchAllWaiting();

 private:
  struct WaitingRequest {
    const DispatchQuery* m_query = nullptr;
    DispatchServerId m_server;
    FiberEvent m_wakeup;
    bool m_slot_granted = false;
    bool m_rejected = false;
  };

  void DispatchWaiting(DispatchServerId server);
  void WaitForSlot(const DispatchQuery& query,
                   DispatchServerId server,
                   TicketNumber ticket);
  HttpResponse Send(const DispatchQuery& query,
                    DispatchServerId server,
                    const HttpRequest& request);
  HttpResponse BuildResponse(const DispatchQuery& query,
                             SendOutcome outcome,
                             ExchangeResult& result);

  DispatchSystem& m_system;
  EventLog& m_events;
  Metrics& m_metrics;
  std::function<void(const std::string&)> m_trigger_report;
  HttpClient m_client;
  std::unordered_map<TicketNumber, WaitingRequest*> m_waiting;
  TicketNumber m_last_ticket = 0;
};

}  // namespace foxtail
