#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "core/time.h"
#include "runtime/address.h"
#include "runtime/http_message.h"

namespace foxtail {

/// What a faulty link does with bytes.
enum class LinkFault {
  kNone,
  /// Connections are closed and new ones refused.
  kCut,
  /// Bytes wait in both directions until the link works again.
  kFreeze,
  /// Bytes towards the target wait.
  kLoseRequests,
  /// Bytes from the target are dropped and the connection is closed.
  kLoseResponses,
};

/// Stand-in for a faulty network: forwards TCP connections over links whose
/// faults are set while it runs.
class FaultProxy {
 public:
  /// One link: "LISTEN=TARGET".
  explicit FaultProxy(const std::vector<std::string>& links);
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Starts all links.
  void Start();

  /// Answers one control request: POST /links/N {"fault", "delay_ms"}.
  HttpResponse Handle(HttpRequest& request);

 private:
  struct Link;
  struct Connection;

  static void Accept(Link& link);
  static void Serve(Link& link, const std::shared_ptr<Connection>& connection);
  static void Forward(Link& link,
                      const std::shared_ptr<Connection>& connection,
                      bool towards_target);

  std::vector<std::unique_ptr<Link>> m_links;
};

}  // namespace foxtail
