#pragma once

#include <random>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_world.h"

namespace foxtail {

/// Clients that send one request after another to the gateways, and reuse their
/// connections as long as possible.
class SoakClients {
 public:
  SoakClients(const SoakWorld& world, size_t clients);

  /// Starts the clients; each is a fiber of the calling thread.
  void Start();

  /// Stops the clients and waits for their last responses.
  void Stop();

  const std::vector<SoakExchange>& GetExchanges() const { return m_exchanges; }

  /// Returns the fraction of the latest `count` requests that were served; 0 if
  /// there are fewer requests.
  double ServedFraction(size_t count) const;

 private:
  void Run(size_t client);
  void SendOne(size_t client, std::minstd_rand& random, HttpClient& http);

  const SoakWorld& m_world;
  size_t m_clients;
  size_t m_running_clients = 0;
  bool m_stopping = false;
  uint64_t m_last_request_number = 0;
  std::vector<SoakExchange> m_exchanges;
};

}  // namespace foxtail
