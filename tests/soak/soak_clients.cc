#include "soak/soak_clients.h"

#include <array>
#include <boost/fiber/operations.hpp>

#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRequestDelay{12};
constexpr milliseconds kRequestDeadline{900};
constexpr seconds kResponseTimeout{2};

// The step limits clients to few keys, so that many requests go to the same
// owners.
constexpr uint32_t kKeyStep = 811;

// All clients move on to the next gateway after this many requests in total.
constexpr uint32_t kRequestsPerGateway = 15;

struct RouteKind {
  const char* m_path;
  bool m_idempotent;
  bool m_sharded;
};

constexpr std::array<RouteKind, 3> kRoutes = {{
    {"/look/1", true, true},
    {"/order/1", false, true},
    {"/pay/1", false, false},
}};

}  // namespace

SoakClients::SoakClients(const SoakWorld& world, size_t clients)
    : m_world(world), m_clients(clients) {}

void SoakClients::Start() {
  for (size_t client = 0; client < m_clients; ++client) {
    ++m_running_clients;
    StartFiber([this, client] {
      Run(client);
      --m_running_clients;
    });
  }
}

void SoakClients::Stop() {
  m_stopping = true;
  while (m_running_clients > 0) {
    boost::this_fiber::sleep_for(kRequestDelay);
  }
}

double SoakClients::ServedFraction(size_t count) const {
  if (m_exchanges.size() < count) {
    return 0;
  }
  size_t served = 0;
  for (size_t i = m_exchanges.size() - count; i < m_exchanges.size(); ++i) {
    served += m_exchanges[i].m_status == 200 ? 1 : 0;
  }
  return static_cast<double>(served) / static_cast<double>(count);
}

void SoakClients::Run(size_t client) {
  std::minstd_rand random(m_world.GetSettings().m_seed * 1000 + client + 1);
  HttpClient http;
  while (!m_stopping) {
    SendOne(client, random, http);
    boost::this_fiber::sleep_for(kRequestDelay);
  }
}

void SoakClients::SendOne(size_t client,
                          std::minstd_rand& random,
                          HttpClient& http) {
  const RouteKind& route = kRoutes[random() % kRoutes.size()];
  const size_t gateways = m_world.GetSettings().m_gateways;
  const size_t gateway =
      (client + m_last_request_number / kRequestsPerGateway) % gateways;
  SoakExchange exchange;
  exchange.m_request = "r" + std::to_string(++m_last_request_number);
  exchange.m_idempotent = route.m_idempotent;
  exchange.m_api_key = m_world.CurrentApiKey();
  // Some clients keep using a withdrawn key.
  if (!m_world.GetWithdrawals().empty() && random() % 8 == 0) {
    exchange.m_api_key = m_world.GetWithdrawals().back().m_api_key;
  }
  HttpRequest request;
  request.m_method = route.m_idempotent ? "GET" : "POST";
  request.m_target = route.m_path;
  request.m_headers.Set("Host", "a.example");
  request.m_headers.Set("X-Foxtailcart-Request-Id", exchange.m_request);
  request.m_headers.Set("X-Foxtailcart-Request-Deadline",
                        std::to_string(kRequestDeadline.count()));
  request.m_headers.Set("X-Foxtailcart-Credential", exchange.m_api_key);
  if (route.m_sharded) {
    request.m_headers.Set("X-Foxtailcart-Shard-Key",
                          std::to_string(random() % 80 * kKeyStep));
  }
  exchange.m_sent_at = Clock::now();
  const ExchangeResult result =
      http.Exchange(m_world.GatewayAddress(gateway), request,
                    Clock::now() + kResponseTimeout);
  if (result.m_ok) {
    exchange.m_status = result.m_response.m_status;
    exchange.m_body = result.m_response.m_body;
  }
  m_exchanges.push_back(std::move(exchange));
}

}  // namespace foxtail
