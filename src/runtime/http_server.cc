#include "runtime/http_server.h"

#include <boost/fiber/operations.hpp>

#include "core/error.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_server_connection.h"

namespace foxtail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kPollPeriod{5};

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

HttpServer::HttpServer(const Address& address,
                       const HttpServerSettings& settings,
                       Handler handler)
    : m_settings(settings),
      m_handler(std::move(handler)),
      m_acceptor(ThreadIoContext()) {
  const tcp::endpoint endpoint(asio::ip::make_address(address.m_host),
                               address.m_port);
  error_code failure;
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (m_settings.m_reuse_port) {
    m_acceptor.set_option(ReusePort(true));
  }
  m_acceptor.bind(endpoint, failure);
  if (!failure) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  const std::string detail = "cannot listen on " + address.ToString() + " (" +
                             failure.message() +
                             "); allowed: a free local address";
  if (failure == asio::error::address_in_use) {
    throw AddressInUseError(ErrorCode::kSettingInvalid, detail);
  }
  if (failure) {
    throw Error(ErrorCode::kSettingInvalid, detail);
  }
}

HttpServer::~HttpServer() = default;

void HttpServer::UseAccount(std::shared_ptr<ResourceAccount> account) {
  m_account = std::move(account);
  m_account->SetOnClose([this](ResourceAccount::ConnectionId id) {
    m_accounted.at(id)->CloseToMakeRoom();
  });
}

void HttpServer::Start() {
  m_accepting = true;
  StartFiber([this] { AcceptLoop(); });
}

uint16_t HttpServer::GetPort() const {
  return m_acceptor.local_endpoint().port();
}

void HttpServer::AcceptLoop() {
  while (!m_stopping) {
    tcp::socket socket(ThreadIoContext());
    const error_code failure = AwaitOperation(
        [&](auto handler) { m_acceptor.async_accept(socket, handler); });
    if (failure) {
      // The process may have run out of descriptors. The pause keeps this loop
      // from spinning.
      boost::this_fiber::sleep_for(kPollPeriod);
      continue;
    }
    Serve(std::move(socket));
  }
  m_accepting = false;
}

void HttpServer::Serve(tcp::socket socket) {
  ResourceAccount::ConnectionId id;
  if (m_account) {
    id = m_account->Open(Clock::now());
  }
  if (m_account ? !id.IsValid()
                : m_connections.size() >= m_settings.m_connection_limit) {
    return;
  }
  // Closed once its last fiber ends, which also releases the callback.
  const auto position = m_connections.emplace(m_connections.end());
  *position = std::make_shared<HttpServerConnection>(
      std::move(socket), *this, id, [this, position, id] {
        if (m_account) {
          m_account->Close(id);
          m_accounted.erase(id);
        }
        m_connections.erase(position);
      });
  if (m_account) {
    m_accounted.emplace(id, position->get());
  }
  (*position)->Start();
}

// The kernel resets the connections that it has accepted and this process has
// not when the listener is closed, although their clients may have sent
// requests.
void HttpServer::AcceptWaiting() {
  error_code failure;
  m_acceptor.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(ThreadIoContext());
    m_acceptor.accept(socket, failure);
    if (!failure) {
      Serve(std::move(socket));
    }
  }
}

bool HttpServer::Stop(Duration timeout) {
  m_stopping = true;
  error_code ignored;
  m_acceptor.cancel(ignored);
  AcceptWaiting();
  m_acceptor.close(ignored);
  const TimePoint until = Clock::now() + timeout;
  while (Clock::now() < until) {
    for (const auto& connection : m_connections) {
      connection->CloseIfIdle();
    }
    if (m_connections.empty() && !m_accepting) {
      return true;
    }
    boost::this_fiber::sleep_for(kPollPeriod);
  }
  return false;
}

}  // namespace foxtail
