#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "core/table.h"
#include "core/time.h"

namespace foxtail {

/// Limits of a `ResourceAccount`.
struct ResourceSettings {
  /// Memory of the machine, bytes.
  uint64_t m_memory_limit = UINT64_MAX;

  /// Memory that the process takes for itself, bytes. A higher measured value
  /// takes its place.
  uint64_t m_base_memory = 16'000'000;

  /// Descriptors that the process may open.
  uint64_t m_descriptor_limit = UINT64_MAX;

  /// Maximum number of client connections.
  size_t m_connection_limit = SIZE_MAX;

  /// Memory of a connection and its first fiber, and of each further request,
  /// bytes. An idle connection was measured at 12 KiB.
  size_t m_connection_bytes = size_t{16} * 1024;
  size_t m_request_bytes = size_t{8} * 1024;

  /// A connection that holds no more than this, in bytes, may use the reserved
  /// part: an eighth of the capacity.
  size_t m_small_bytes = size_t{96} * 1024;

  /// A connection makes progress by this many bytes. Fewer don't count, so that
  /// single bytes keep no connection open.
  size_t m_progress_bytes = size_t{4} * 1024;

  /// Time without progress after which a connection may be closed when the
  /// account is full.
  Duration m_stall_time = std::chrono::milliseconds(500);
};

/// What a client connection does, as far as closing it is concerned.
enum class ConnectionPhase {
  /// No request has begun to arrive.
  kIdle,
  /// A request is arriving.
  kReceiving,
  /// A request is handled; a server may be running it.
  kServing,
  /// The client has not taken all of a response.
  kSending,
};

/// A client connection in the account.
struct AccountedConnection {
  /// Bytes held for the connection.
  uint64_t m_bytes = 0;
  ConnectionPhase m_phase = ConnectionPhase::kIdle;
  TimePoint m_progress_at;

  /// Bytes transferred since the last progress.
  size_t m_transferred = 0;

  /// The connection has been told to close, and counts no more.
  bool m_closing = false;
};

/// Memory and descriptors of the process that are in use for clients, per
/// connection and altogether. Decides what may still be taken, and which
/// connections are closed to make room. Reads no clock and performs no I/O.
class ResourceAccount {
 public:
  using ConnectionId = Table<AccountedConnection>::Id;

  /// Sums for the metrics.
  struct State {
    uint64_t m_held = 0;
    uint64_t m_capacity = 0;
    uint64_t m_resident = 0;
    size_t m_connections = 0;
    size_t m_server_connections = 0;

    /// Number of refused requests for resources, and of connections closed to
    /// make room, since the start.
    uint64_t m_refused = 0;
    uint64_t m_closed = 0;
  };

  explicit ResourceAccount(const ResourceSettings& settings);

  /// Sets the callback that closes a connection and frees what it holds for an
  /// unfinished request at once.
  void SetOnClose(std::function<void(ConnectionId)> on_close) {
    m_on_close = std::move(on_close);
  }

  /// Adds a client connection. Returns an invalid id if there is no room for
  /// it.
  ConnectionId Open(TimePoint now);

  /// Removes a connection and all that is held for it.
  void Close(ConnectionId id);

  /// Adds a connection to a server; returns false if there is no descriptor for
  /// it yet.
  bool TryOpenServerConnection(TimePoint now);
  void CloseServerConnection();

  /// Returns whether a connection may hold `bytes` more, after closing others
  /// that make no progress. Counts a refusal if not.
  bool CanHold(ConnectionId id, uint64_t bytes, TimePoint now);

  /// As `CanHold`, and holds the bytes if the result is true.
  bool TryHold(ConnectionId id, uint64_t bytes, TimePoint now);

  /// Holds bytes that are in memory already, as those of a response, and closes
  /// other connections that make no progress if there is no room for them.
  void Hold(ConnectionId id, uint64_t bytes, TimePoint now);

  /// Releases bytes of a connection, which may have been removed.
  void Release(ConnectionId id, uint64_t bytes);

  void SetPhase(ConnectionId id, ConnectionPhase phase, TimePoint now);

  /// Records that bytes were received from a client or taken by it.
  void OnTransferred(ConnectionId id, size_t bytes, TimePoint now);

  /// Takes over the measured resident memory of the process.
  void OnResidentMemory(uint64_t bytes);

  /// Returns whether much of the resident memory is neither held for a client
  /// nor the process's own, so that free memory should be returned to the
  /// system.
  bool ShouldReturnMemory() const;

  State GetState() const;
  const ResourceSettings& GetSettings() const { return m_settings; }

 private:
  uint64_t GetCapacity() const;
  bool FitsMemory(const AccountedConnection& row, uint64_t bytes) const;
  ConnectionId FindStalled(ConnectionId except,
                           bool with_small,
                           TimePoint now) const;
  ConnectionId FindLargestReceiving(ConnectionId except) const;
  size_t CountOpen() const { return m_connections.size() - m_closing; }
  bool HasConnectionRoom() const;
  bool HasServerConnectionRoom() const;
  void CloseToMakeRoom(ConnectionId id);

  ResourceSettings m_settings;
  std::function<void(ConnectionId)> m_on_close = [](ConnectionId) {};
  Table<AccountedConnection> m_connections;
  size_t m_server_connections = 0;

  /// Number of connections that have been told to close.
  size_t m_closing = 0;

  /// Bytes held, without those of closing connections.
  uint64_t m_held = 0;
  uint64_t m_resident = 0;

  /// Memory of the process beside what was held when it was measured last.
  uint64_t m_overhead = 0;
  uint64_t m_refused = 0;
  uint64_t m_closed = 0;
};

}  // namespace foxtail
