#pragma once

#include <random>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_world.h"

namespace foxtail {

/// Clients that send one request after another to the gateways, on open
/// connections for as long as these last.
class SoakClients {
 public:
  SoakClients(const SoakWorld& world, size_t clients);

  /// Starts the clients; each is a fiber of the calling thread.
  void Start();

  /// Ends them and waits for their last answers.
  void Stop();

  const std::vector<SoakExchange>& GetExchanges() const { return m_exchanges; }

  /// Returns the part of the newest `count` requests that were served.
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
