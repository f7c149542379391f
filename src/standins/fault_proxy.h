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

/// Fault of a link between two processes.
enum class LinkFault {
  kNone,
  /// Open connections are closed and new ones refused.
  kCut,
  /// Bytes are held back in both directions until the fault is cleared.
  kFreeze,
  /// Bytes towards the target are held back until the fault is cleared.
  kLoseRequests,
  /// Bytes from the target are dropped and the connection is closed.
  kLoseResponses,
  /// All bytes are lost on open connections, also after the fault is cleared,
  /// and on new ones. Neither end learns of it.
  kSilence,
};

/// Stand-in for a faulty network: a TCP proxy whose links can be given faults
/// at run time.
class FaultProxy {
 public:
  /// Each element of `links` has the form "LISTEN=TARGET". Throws `Error`
  /// (kSettingInvalid) if the equals sign is missing.
  explicit FaultProxy(const std::vector<std::string>& links);
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Starts accepting connections on all links.
  void Start();

  /// Handles one control request: POST /links/N {"fault", "delay_ms"}.
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
