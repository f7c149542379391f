#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "gateway/request_handler.h"

namespace foxtail {

/// Fields of the responses that `FakeFrontEnd` classifies.
inline constexpr const char* kLeavingField = "leaving";
inline constexpr const char* kPauseField = "pause-ms";
inline constexpr const char* kNotRunField = "not-run";
inline constexpr const char* kOtherRequestField = "other-request";
inline constexpr const char* kNoIdField = "no-id";

// No request asks so often for a permit in its time. The limit ends a request
// that never stops asking.
inline constexpr uint32_t kRunawayCalls = 10'000;

/// A front end whose requests have a deadline and no other field.
class FakeFrontEnd : public FrontEnd {
 public:
  ClientRequest Decode(const HttpRequest& request) const override {
    ClientRequest decoded;
    decoded.m_host = "a.example";
    decoded.m_path = request.m_target;
    decoded.m_deadline = m_deadline;
    return decoded;
  }

  HttpRequest BuildServerRequest(const HttpRequest& request,
                                 const ForwardingMetadata&) const override {
    return request;
  }

  ServerResponse Classify(const ClientRequest&,
                          const HttpResponse& response) const override {
    ServerResponse classified;
    classified.m_kind = ResponseKind::kComplete;
    classified.m_leaving = response.m_headers.Get(kLeavingField).has_value();
    classified.m_pause = std::chrono::milliseconds(
        std::stoi(response.m_headers.GetOr(kPauseField, "0")));
    classified.m_is_identified = !response.m_headers.Get(kNoIdField);
    if (response.m_headers.Get(kOtherRequestField)) {
      classified.m_kind = ResponseKind::kInvalid;
    } else if (response.m_headers.Get(kNotRunField)) {
      classified.m_kind = ResponseKind::kNotRun;
    }
    return classified;
  }

  HttpResponse BuildClientResponse(HttpResponse response) const override {
    return response;
  }

  HttpResponse BuildErrorResponse(const Error& error, Duration) const override {
    const ErrorInfo& info = InfoOf(error.GetCode());
    HttpResponse response;
    response.m_status = info.m_http_status;
    response.m_body = info.m_name;
    return response;
  }

  Duration m_deadline = std::chrono::seconds(1);
};

/// Gives the same answer to every request for a permit, at once.
class FakePermits : public PermitSource {
 public:
  void OnSnapshot(const std::shared_ptr<const RoutingSnapshot>&) override {}
  bool IsOn() const override { return m_on; }

  PermitAnswer Acquire(const PermitQuery&) override {
    if (++m_calls > kRunawayCalls) {
      throw std::runtime_error("the request never stops asking for a permit");
    }
    PermitAnswer answer;
    answer.m_state = m_state;
    answer.m_ticket = m_calls;
    answer.m_server = m_server;
    return answer;
  }

  void Return(PermitTicket, const PermitReturn& outcome) override {
    m_returns.push_back(outcome);
  }
  std::vector<PermitCounts> TakeCounts() override { return {}; }

  bool m_on = true;
  PermitState m_state = PermitState::kUnavailable;
  std::string m_server;
  uint32_t m_calls = 0;
  std::vector<PermitReturn> m_returns;
};

class FakeFreshness : public AccessFreshness {
 public:
  bool IsFresh() const override { return true; }
};

/// Name of the only service, and the data centre of the handler and the server.
inline constexpr const char* kService = "s";
inline constexpr const char* kDataCentre = "dc-0";

/// Returns a configuration whose only route leads to `kService`.
inline std::shared_ptr<RoutingSnapshot> BuildTestSnapshot() {
  RouteRow route;
  route.m_name = "r";
  route.m_host = "a.example";
  route.m_prefix = "/";
  route.m_timeout = std::chrono::seconds(10);
  route.m_max_attempts = 2;
  route.m_services = {{kService, 1}};
  RoutingConfig config;
  config.m_routes = {route};
  config.m_services = {{kService, false, 100, 0}};
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->m_routes = std::make_shared<RouteIndex>(std::move(config));
  return snapshot;
}

/// Adds a server of `kService` that listens on a loopback port.
inline void AddTestServer(RoutingSnapshot& snapshot,
                          const std::string& id,
                          uint16_t port) {
  constexpr uint32_t kSlots = 2;
  RoutedServer server;
  server.m_id = id;
  server.m_incarnation = 1;
  server.m_address = {"127.0.0.1", port};
  server.m_data_centre = kDataCentre;
  server.m_slots = kSlots;
  server.m_send_until = TimePoint::max();
  ServiceEndpoints& endpoints = snapshot.m_endpoints[kService];
  endpoints.m_servers[id] = server;
  if (endpoints.m_groups.empty()) {
    endpoints.m_groups = {{kDataCentre, 0, 0}};
  }
  endpoints.m_groups.front().m_slots += kSlots;
}

/// A handler with fakes around it.
struct TestRequestPath {
  TestRequestPath() : m_events("test", "/dev/null"), m_log(m_events) {
    m_settings.m_data_centre = kDataCentre;
    m_handler = std::make_unique<RequestHandler>(
        m_settings, m_front_end, m_freshness, m_permits, m_log, m_metrics);
  }

  HttpResponse Handle() {
    HttpRequest request;
    request.m_arrived_at = Clock::now();
    return m_handler->Handle(request);
  }

  GatewaySettings m_settings;
  FakeFrontEnd m_front_end;
  FakePermits m_permits;
  FakeFreshness m_freshness;
  EventLog m_events;
  RequestLog m_log;
  Metrics m_metrics;
  std::unique_ptr<RequestHandler> m_handler;
};

}  // namespace foxtail
