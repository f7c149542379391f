#include "standins/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include "core/error.h"
#include "core/json.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

namespace foxtail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr size_t kBufferSize = 16 * 1024;  // bytes
constexpr milliseconds kFrozenPollInterval{5};

constexpr std::array<const char*, 6> kFaultNames = {
    "none", "cut", "freeze", "lose_requests", "lose_answers", "silence"};

tcp::endpoint ParseEndpoint(const std::string& text) {
  const Address address = ParseAddress(text);
  return {asio::ip::make_address(address.m_host), address.m_port};
}

LinkFault ParseFault(const std::string& name) {
  for (size_t i = 0; i < kFaultNames.size(); ++i) {
    if (name == kFaultNames[i]) {
      return static_cast<LinkFault>(i);
    }
  }
  throw Error(ErrorCode::kSettingInvalid, "fault '" + name + "'");
}

}  // namespace

struct FaultProxy::Connection {
  explicit Connection(tcp::socket accepted)
      : m_client(std::move(accepted)), m_target(ThreadIoContext()) {}

  void Close() {
    error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
  }

  tcp::socket m_client;
  tcp::socket m_target;

  /// Everything that is sent on the connection is lost, for good.
  bool m_silent = false;
};

struct FaultProxy::Link {
  Link(const std::string& listen, const std::string& target)
      : m_acceptor(ThreadIoContext(), ParseEndpoint(listen)),
        m_target(ParseEndpoint(target)) {}

  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  LinkFault m_fault = LinkFault::kNone;
  milliseconds m_delay{0};
  std::list<std::weak_ptr<Connection>> m_connections;
};

FaultProxy::FaultProxy(const std::vector<std::string>& links) {
  for (const std::string& link : links) {
    const size_t equals = link.find('=');
    if (equals == std::string::npos) {
      throw Error(ErrorCode::kSettingInvalid, "link '" + link + "'");
    }
    m_links.push_back(std::make_unique<Link>(link.substr(0, equals),
                                             link.substr(equals + 1)));
  }
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::Start() {
  for (auto& link : m_links) {
    StartFiber([link = link.get()] { Accept(*link); });
  }
}

void FaultProxy::Accept(Link& link) {
  while (true) {
    tcp::socket socket(ThreadIoContext());
    const error_code failure = AwaitOperation(
        [&](auto handler) { link.m_acceptor.async_accept(socket, handler); });
    if (failure) {
      return;
    }
    if (link.m_fault == LinkFault::kCut) {
      continue;
    }
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->m_silent = link.m_fault == LinkFault::kSilence;
    link.m_connections.push_back(connection);
    StartFiber([&link, connection] { Serve(link, connection); });
  }
}

void FaultProxy::Serve(Link& link,
                       const std::shared_ptr<Connection>& connection) {
  const error_code failure = AwaitOperation([&](auto handler) {
    connection->m_target.async_connect(link.m_target, handler);
  });
  if (failure) {
    connection->Close();
    return;
  }
  error_code ignored;
  connection->m_client.set_option(tcp::no_delay(true), ignored);
  connection->m_target.set_option(tcp::no_delay(true), ignored);
  StartFiber([&link, connection] { Forward(link, connection, true); });
  Forward(link, connection, false);
}

void FaultProxy::Forward(Link& link,
                         const std::shared_ptr<Connection>& connection,
                         bool towards_target) {
  tcp::socket& from =
      towards_target ? connection->m_client : connection->m_target;
  tcp::socket& to =
      towards_target ? connection->m_target : connection->m_client;
  std::array<char, kBufferSize> buffer;
  while (true) {
    FiberWait read;
    from.async_read_some(asio::buffer(buffer), read.Handler());
    const bool ended = static_cast<bool>(read.Wait());
    if (ended && connection->m_silent && !towards_target) {
      return;  // the client doesn't learn of it
    }
    if (ended) {
      break;
    }
    if (connection->m_silent) {
      continue;
    }
    if (link.m_delay.count() > 0) {
      boost::this_fiber::sleep_for(link.m_delay);
    }
    if (link.m_fault == LinkFault::kLoseResponses && !towards_target) {
      break;
    }
    while (link.m_fault == LinkFault::kFreeze ||
           (link.m_fault == LinkFault::kLoseRequests && towards_target)) {
      boost::this_fiber::sleep_for(kFrozenPollInterval);
    }
    const error_code failure = AwaitOperation([&](auto handler) {
      asio::async_write(to, asio::buffer(buffer.data(), read.GetBytes()),
                        handler);
    });
    if (failure) {
      break;
    }
  }
  connection->Close();
}

HttpResponse FaultProxy::Handle(HttpRequest& request) {
  constexpr std::string_view kPrefix = "/links/";
  HttpResponse response;
  if (!request.m_target.starts_with(kPrefix)) {
    throw Error(ErrorCode::kRouteUnknown, request.m_target);
  }
  const size_t index = std::stoul(request.m_target.substr(kPrefix.size()));
  Link& link = *m_links.at(index);
  const Json::Value body = ParseJson(request.m_body);
  link.m_fault = ParseFault(body.get("fault", "none").asString());
  link.m_delay = milliseconds(body.get("delay_ms", 0).asInt64());
  if (link.m_fault == LinkFault::kCut || link.m_fault == LinkFault::kSilence) {
    for (const auto& weak : link.m_connections) {
      if (const auto connection = weak.lock()) {
        connection->m_silent = link.m_fault == LinkFault::kSilence;
        if (!connection->m_silent) {
          connection->Close();
        }
      }
    }
    link.m_connections.clear();
  }
  return response;
}

}  // namespace foxtail
