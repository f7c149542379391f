#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/time.h"
#include "runtime/fiber_stream.h"
#include "runtime/http_message.h"
#include "runtime/server_connection_slot.h"

namespace foxtail {

/// A connection of an `HttpClient`, in use or idle.
struct HttpClientConnection {
  explicit HttpClientConnection(boost::asio::io_context& io)
      : m_stream(boost::asio::ip::tcp::socket(io)) {}

  /// Returns whether the connection can be used for another request. Input on
  /// an idle connection means that the server closed it or that its responses
  /// no longer match its requests.
  bool IsUsable() { return m_buffer.size() == 0 && m_stream.IsOpenAndIdle(); }

  std::unique_ptr<ServerConnectionSlot> m_slot;
  FiberStream m_stream;
  boost::beast::flat_buffer m_buffer{kReadBufferLimit};

  /// An idle connection is not used again after this time.
  TimePoint m_usable_until;
};

}  // namespace foxtail
