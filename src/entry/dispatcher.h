#pragma once

#include <functional>
#include <unordered_map>

#include "core/event.h"
#include "core/metrics.h"
#include "runtime/fiber_event.h"
#include "runtime/http_client.h"
#include "traffic/dispatch_system.h"

namespace foxtail {

/// Sends requests to backend servers on the fibers of one traffic thread.
/// `DispatchSystem` makes the decisions.
class Dispatcher {
 public:
  /// `trigger_report(cell)` is called when this thread should report to the
  /// cell's controller immediately.
  Dispatcher(DispatchSystem& system,
             EventLog& events,
             Metrics& metrics,
             std::function<void(const std::string&)> trigger_report);

  /// Sends one request to its backend server and returns the server's response.
  /// Throws `Error` if the request is not admitted or sending fails.
  HttpResponse Dispatch(const DispatchQuery& query, const HttpRequest& request);

  /// Rejects the waiting requests that may no longer be sent to their server.
  void RejectUnsendable();

  /// Gives the free slots of all servers to waiting requests.
  void DispatchAllWaiting();

 private:
  struct WaitingRequest {
    const DispatchQuery* m_query = nullptr;
    DispatchServerId m_server;
    FiberEvent m_wakeup;
    bool m_slot_granted = false;
    bool m_rejected = false;
  };

  /// Gives the free slots of a server to waiting requests.
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
