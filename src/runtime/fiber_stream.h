#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "core/time.h"
#include "runtime/fiber_event.h"

namespace foxtail {

/// A TCP connection for Boost.Beast's synchronous algorithms. A read or write
/// suspends only the calling fiber, until the operation completes or the
/// deadline passes.
class FiberStream {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using ErrorCode = boost::system::error_code;

  explicit FiberStream(Socket socket) : m_socket(std::move(socket)) {}

  Socket& GetSocket() { return m_socket; }

  /// Sets the deadline of the following operations. An operation that is not
  /// complete by then is cancelled and fails with `timed_out`.
  void SetDeadline(TimePoint deadline) { m_deadline = deadline; }

  ErrorCode Connect(const boost::asio::ip::tcp::endpoint& endpoint);

  /// Disables Nagle's algorithm and makes the socket non-blocking, so that
  /// writes are tried at once. Must be called once connected, before the first
  /// write.
  void EnableImmediateWrites();

  /// Resets the connection. Data that was written and has not arrived yet is
  /// discarded.
  void Abort();

  /// Returns whether the connection is open and has no unread input.
  bool IsOpenAndIdle();

  /// Returns whether the peer has closed or reset the connection and all its
  /// input has been read.
  bool HasEnded();

  // Boost.Beast requires the names `read_some` and `write_some`.
  template <typename Buffers>
  size_t read_some(const Buffers& buffers, ErrorCode& failure) {  // NOLINT
    return Await(
        [&](auto handler) { m_socket.async_read_some(buffers, handler); },
        failure);
  }

  template <typename Buffers>
  size_t write_some(const Buffers& buffers, ErrorCode& failure) {  // NOLINT
    const size_t written = m_socket.write_some(buffers, failure);
    if (failure != boost::asio::error::would_block) {
      return written;
    }
    return Await(
        [&](auto handler) { m_socket.async_write_some(buffers, handler); },
        failure);
  }

  template <typename Buffers>
  size_t read_some(const Buffers& buffers) {  // NOLINT
    return ThrowOnError(
        [&](ErrorCode& failure) { return read_some(buffers, failure); });
  }

  template <typename Buffers>
  size_t write_some(const Buffers& buffers) {  // NOLINT
    return ThrowOnError(
        [&](ErrorCode& failure) { return write_some(buffers, failure); });
  }

 private:
  /// Result of an asynchronous operation, and the event that its completion
  /// notifies.
  struct Operation {
    FiberEvent m_event;
    bool m_done = false;
    ErrorCode m_failure;
    size_t m_bytes = 0;
  };

  template <typename Start>
  size_t Await(Start start, ErrorCode& failure) {
    // Input that never ends would otherwise keep a reader beyond its deadline.
    if (Clock::now() >= m_deadline) {
      failure = boost::asio::error::timed_out;
      return 0;
    }
    Operation operation;
    start([&operation](const ErrorCode& error, size_t bytes = 0) {
      operation.m_failure = error;
      operation.m_bytes = bytes;
      operation.m_done = true;
      operation.m_event.Notify();
    });
    WaitFor(operation);
    failure = operation.m_failure;
    return operation.m_bytes;
  }

  template <typename Function>
  static size_t ThrowOnError(Function function) {
    ErrorCode failure;
    const size_t bytes = function(failure);
    if (failure) {
      throw boost::system::system_error(failure);
    }
    return bytes;
  }

  void WaitFor(Operation& operation);

  Socket m_socket;
  TimePoint m_deadline = TimePoint::max();
};

}  // namespace foxtail
