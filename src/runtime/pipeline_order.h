#pragma once

#include <cstddef>
#include <cstdint>

namespace foxtail {

/// Order of the requests on one client connection: whether another request may
/// be read before the earlier ones are answered, when a request may start, and
/// whose response is sent next. Reads no clock and performs no I/O.
class PipelineOrder {
 public:
  /// Position of a request on its connection, counted from 0.
  using Ticket = uint64_t;

  /// `max_unanswered` is the number of requests that may be read and not
  /// answered yet; at least 1.
  explicit PipelineOrder(size_t max_unanswered);

  /// Returns whether another request may be read now.
  bool CanRead() const;

  /// Records a request that has been read. `safe` tells whether its method is
  /// safe, so that it may run beside other requests. Requires `CanRead()`.
  Ticket OnRead(bool safe);

  /// Returns whether a request may start. A request whose method is not safe
  /// starts only when all requests before it are answered.
  bool CanStart(Ticket ticket) const;

  /// Returns whether the request's response is sent next.
  bool IsNext(Ticket ticket) const { return ticket == m_answered; }

  /// Records that the request's response has been sent. Requires `IsNext`.
  void OnAnswered(Ticket ticket);

  /// No further request is read. Those that have been read are answered.
  void StopReading() { m_reading_stopped = true; }
  bool HasStoppedReading() const { return m_reading_stopped; }

  /// Returns whether the request is the last one that is answered on the
  /// connection, so that its response announces the end of the connection.
  bool IsLast(Ticket ticket) const {
    return m_reading_stopped && ticket + 1 == m_read;
  }

  bool IsIdle() const { return m_read == m_answered; }

 private:
  size_t m_max_unanswered;

  /// Number of requests read and answered so far.
  uint64_t m_read = 0;
  uint64_t m_answered = 0;

  /// The request read last has an unsafe method; nothing is read behind it
  /// until it is answered.
  bool m_last_is_unsafe = false;
  bool m_reading_stopped = false;
};

}  // namespace foxtail
