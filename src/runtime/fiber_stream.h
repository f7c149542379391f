#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "core/time.h"
#include "runtime/fiber_event.h"

namespace foxtail {

/// A TCP connection for the library's synchronous algorithms: reads and writes
/// suspend the calling fiber only, until they are done or the deadline passes.
class FiberStream {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using ErrorCode = boost::system::error_code;

  explicit FiberStream(Socket socket) : m_socket(std::move(socket)) {}

  Socket& GetSocket() { return m_socket; }

  /// Sets when operations are given up; they fail with `timed_out` then.
  void SetDeadline(TimePoint deadline) { m_deadline = deadline; }

  ErrorCode Connect(const boost::asio::ip::tcp::endpoint& endpoint);

  /// To be called once connected, before the first write.
  void EnableImmediateWrites();

  /// Closes the connection at once. What was written and has not arrived yet
  /// never will.
  void Abort();

  /// Returns whether the connection is open and nothing waits to be read.
  bool IsOpenAndIdle();

  // The names that the library asks for.
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
  /// How an operation ended, and who waits for it.
  struct Operation {
    FiberEvent m_event;
    bool m_done = false;
    ErrorCode m_failure;
    size_t m_bytes = 0;
  };

  template <typename Start>
  size_t Await(Start start, ErrorCode& failure) {
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
