#include "runtime/fiber_stream.h"

#include <sys/socket.h>

namespace foxtail {

FiberStream::ErrorCode FiberStream::Connect(
    const boost::asio::ip::tcp::endpoint& endpoint) {
  ErrorCode failure;
  Await([&](auto handler) { m_socket.async_connect(endpoint, handler); },
        failure);
  return failure;
}

// Most messages fit into the socket's buffer, so that writing needs no wait.
void FiberStream::EnableImmediateWrites() {
  ErrorCode ignored;
  m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
}

// An ordinary close goes on delivering what the system still holds, for as long
// as a cut of the network lasts.
void FiberStream::Abort() {
  ErrorCode ignored;
  m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  m_socket.close(ignored);
}

bool FiberStream::IsOpenAndIdle() {
  char byte = 0;
  const ssize_t got =
      recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The operation refers to the caller's stack, so it is always waited for to its
// end.
void FiberStream::WaitFor(Operation& operation) {
  while (!operation.m_done && Clock::now() < m_deadline) {
    operation.m_event.WaitUntil(m_deadline);
  }
  if (operation.m_done) {
    return;
  }
  ErrorCode ignored;
  m_socket.cancel(ignored);
  while (!operation.m_done) {
    operation.m_event.WaitUntil(TimePoint::max());
  }
  if (operation.m_failure == boost::asio::error::operation_aborted) {
    operation.m_failure = boost::asio::error::timed_out;
  }
}

}  // namespace foxtail
