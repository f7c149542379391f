#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

namespace foxtail {

/// One connection of a `RawServer`.
class RawConnection {
 public:
  explicit RawConnection(boost::asio::ip::tcp::socket socket)
      : m_socket(std::move(socket)) {}

  /// Reads up to and including `end`. Returns nothing if the client closes the
  /// connection.
  std::string ReadUntil(const std::string& end) {
    std::string input;
    if (AwaitOperation([&](auto handler) {
          boost::asio::async_read_until(
              m_socket, boost::asio::dynamic_buffer(input), end, handler);
        })) {
      return {};
    }
    return input;
  }

  void Write(const std::string& bytes) {
    AwaitOperation([&](auto handler) {
      boost::asio::async_write(m_socket, boost::asio::buffer(bytes), handler);
    });
  }

  /// Resets the connection in place of an ordinary close.
  void Reset() {
    m_socket.set_option(boost::asio::socket_base::linger(true, 0));
    m_socket.close();
  }

 private:
  boost::asio::ip::tcp::socket m_socket;
};

/// A server on a loopback address that sends bytes of the test's choice.
class RawServer {
 public:
  /// Runs on a fiber of its own; its return closes the connection.
  using Serve = std::function<void(RawConnection&)>;

  explicit RawServer(Serve serve) : m_acceptor(Listen()) {
    StartFiber([acceptor = m_acceptor, serve = std::move(serve)] {
      while (true) {
        boost::asio::ip::tcp::socket socket(ThreadIoContext());
        if (AwaitOperation([&](auto handler) {
              acceptor->async_accept(socket, handler);
            })) {
          return;
        }
        const auto connection =
            std::make_shared<RawConnection>(std::move(socket));
        StartFiber([connection, serve] { serve(*connection); });
      }
    });
  }
  ~RawServer() { m_acceptor->close(); }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  uint16_t GetPort() const { return m_acceptor->local_endpoint().port(); }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  static std::shared_ptr<Acceptor> Listen() {
    return std::make_shared<Acceptor>(
        ThreadIoContext(), boost::asio::ip::tcp::endpoint(
                               boost::asio::ip::address_v4::loopback(), 0));
  }

  std::shared_ptr<Acceptor> m_acceptor;
};

}  // namespace foxtail
