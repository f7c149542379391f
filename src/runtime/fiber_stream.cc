#include "runtime/fiber_stream.h"

#include <sys/socket.h>

namespace foxtail {
namespace {

// Looks at the next byte without taking it or waiting.
ssize_t Peek(FiberStream::Socket& socket) {
  char byte = 0;
  return recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool WouldWait(ssize_t got) {
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

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

bool FiberStream::IsSilent() {
  return WouldWait(Peek(m_socket));
}

bool FiberStream::IsClosed() {
  const ssize_t got = Peek(m_socket);
  return got == 0 || (got < 0 && !WouldWait(got));
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
