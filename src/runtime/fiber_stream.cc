#include "runtime/fiber_stream.h"

#include <sys/socket.h>

namespace foxtail {
namespace {

enum class PendingInput { kNone, kUnread, kEnd };

PendingInput PeekInput(int socket) {
  char byte = 0;
  const ssize_t received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return PendingInput::kUnread;
  }
  const bool idle = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return idle ? PendingInput::kNone : PendingInput::kEnd;
}

}  // namespace

FiberStream::ErrorCode FiberStream::Connect(
    const boost::asio::ip::tcp::endpoint& endpoint) {
  ErrorCode failure;
  Await([&](auto handler) { m_socket.async_connect(endpoint, handler); },
        failure);
  return failure;
}

// Most messages fit into the socket's send buffer, so an immediate write
// completes without suspending the fiber.
void FiberStream::EnableImmediateWrites() {
  ErrorCode ignored;
  m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
}

// After an ordinary close the kernel keeps trying to deliver the data in its
// buffers for as long as a network partition lasts, so old data could arrive
// when the partition ends.
void FiberStream::Abort() {
  ErrorCode ignored;
  m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  m_socket.close(ignored);
}

bool FiberStream::IsOpenAndIdle() {
  return PeekInput(m_socket.native_handle()) == PendingInput::kNone;
}

bool FiberStream::HasEnded() {
  return PeekInput(m_socket.native_handle()) == PendingInput::kEnd;
}

// The completion handler refers to the stack of the calling fiber, so the fiber
// always waits for the completion, even of a cancelled operation.
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
