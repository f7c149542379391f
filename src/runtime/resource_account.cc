#include "runtime/resource_account.h"

#include <algorithm>
#include <cassert>

namespace foxtail {
namespace {

// The part of the memory limit that stays free: what grows between two
// measurements of the resident memory, and headers that are parsed before they
// are counted.
constexpr uint64_t kMarginDivisor = 16;

// The part of the capacity that only connections that hold little may use.
constexpr uint64_t kReserveDivisor = 8;

// A small machine can hold this much whatever the process itself takes, so that
// a wrong measurement stops no ordinary request.
constexpr uint64_t kMinCapacity = 4'000'000;  // bytes

// Descriptors that clients and the request path leave to the control thread:
// its listeners, the store, and a connection to each server.
constexpr uint64_t kControlDescriptors = 32;
constexpr uint64_t kControlDivisor = 8;

// Descriptors that client connections leave to those of servers.
constexpr uint64_t kServerDivisor = 8;

// Memory beyond the process's own from which returning free memory to the
// system is worth its time.
constexpr uint64_t kReturnThreshold = 4'000'000;  // bytes

}  // namespace

ResourceAccount::ResourceAccount(const ResourceSettings& settings)
    : m_settings(settings) {
  assert(settings.m_memory_limit > 0 && settings.m_descriptor_limit > 0);
}

ResourceAccount::ConnectionId ResourceAccount::Open(TimePoint now) {
  if (!HasConnectionRoom()) {
    const ConnectionId stalled = FindStalled({}, true, now);
    if (!stalled.IsValid()) {
      ++m_refused;
      return {};
    }
    CloseToMakeRoom(stalled);
  }
  AccountedConnection row;
  row.m_progress_at = now;
  const ConnectionId id = m_connections.Insert(row);
  if (!TryHold(id, m_settings.m_connection_bytes, now)) {
    Close(id);
    return {};
  }
  return id;
}

void ResourceAccount::Close(ConnectionId id) {
  const AccountedConnection& row = m_connections.Get(id);
  if (row.m_closing) {
    --m_closing;
  } else {
    m_held -= row.m_bytes;
  }
  m_connections.Erase(id);
}

bool ResourceAccount::TryOpenServerConnection(TimePoint now) {
  if (!HasServerConnectionRoom()) {
    const ConnectionId stalled = FindStalled({}, true, now);
    if (stalled.IsValid()) {
      CloseToMakeRoom(stalled);
    } else {
      ++m_refused;
    }
    return false;
  }
  ++m_server_connections;
  return true;
}

void ResourceAccount::CloseServerConnection() {
  assert(m_server_connections > 0);
  --m_server_connections;
}

bool ResourceAccount::CanHold(ConnectionId id, uint64_t bytes, TimePoint now) {
  while (true) {
    const AccountedConnection* row = m_connections.Find(id);
    if (!row || row->m_closing) {
      return false;
    }
    if (FitsMemory(*row, bytes)) {
      return true;
    }
    const bool small = row->m_bytes + bytes <= m_settings.m_small_bytes;
    ConnectionId victim = FindStalled(id, small, now);
    if (!victim.IsValid() && small) {
      victim = FindLargestReceiving(id);
    }
    if (!victim.IsValid()) {
      ++m_refused;
      return false;
    }
    CloseToMakeRoom(victim);
  }
}

bool ResourceAccount::TryHold(ConnectionId id, uint64_t bytes, TimePoint now) {
  if (!CanHold(id, bytes, now)) {
    return false;
  }
  m_connections.Get(id).m_bytes += bytes;
  m_held += bytes;
  return true;
}

void ResourceAccount::Hold(ConnectionId id, uint64_t bytes, TimePoint now) {
  AccountedConnection* row = m_connections.Find(id);
  if (!row) {
    return;
  }
  row->m_bytes += bytes;
  m_held += row->m_closing ? 0 : bytes;
  while (m_held > GetCapacity()) {
    const ConnectionId victim = FindStalled(id, true, now);
    if (!victim.IsValid()) {
      return;
    }
    CloseToMakeRoom(victim);
  }
}

void ResourceAccount::Release(ConnectionId id, uint64_t bytes) {
  AccountedConnection* row = m_connections.Find(id);
  if (!row) {
    return;
  }
  assert(row->m_bytes >= bytes);
  row->m_bytes -= bytes;
  m_held -= row->m_closing ? 0 : bytes;
}

void ResourceAccount::SetPhase(ConnectionId id,
                               ConnectionPhase phase,
                               TimePoint now) {
  AccountedConnection* row = m_connections.Find(id);
  if (row && row->m_phase != phase) {
    row->m_phase = phase;
    row->m_progress_at = now;
    row->m_transferred = 0;
  }
}

void ResourceAccount::OnTransferred(ConnectionId id,
                                    size_t bytes,
                                    TimePoint now) {
  AccountedConnection* row = m_connections.Find(id);
  if (!row) {
    return;
  }
  row->m_transferred += bytes;
  if (row->m_transferred >= m_settings.m_progress_bytes) {
    row->m_transferred = 0;
    row->m_progress_at = now;
  }
}

void ResourceAccount::OnResidentMemory(uint64_t bytes) {
  m_resident = bytes;
  m_overhead = bytes > m_held ? bytes - m_held : 0;
}

bool ResourceAccount::ShouldReturnMemory() const {
  return m_overhead > m_settings.m_base_memory + kReturnThreshold;
}

ResourceAccount::State ResourceAccount::GetState() const {
  return {m_held,      GetCapacity(),        m_resident,
          CountOpen(), m_server_connections, m_refused,
          m_closed};
}

uint64_t ResourceAccount::GetCapacity() const {
  const uint64_t limit = m_settings.m_memory_limit;
  const uint64_t taken =
      limit / kMarginDivisor + std::max(m_settings.m_base_memory, m_overhead);
  return std::max(kMinCapacity, limit > taken ? limit - taken : 0);
}

bool ResourceAccount::FitsMemory(const AccountedConnection& row,
                                 uint64_t bytes) const {
  const uint64_t capacity = GetCapacity();
  const bool small = row.m_bytes + bytes <= m_settings.m_small_bytes;
  const uint64_t usable =
      small ? capacity : capacity - capacity / kReserveDivisor;
  return bytes <= usable && m_held <= usable - bytes;
}

// Returns the connection whose bytes are held longest without progress,
// weighted by their number; invalid if all make progress. Connections that hold
// little are closed only for one that needs little itself. Requests that a
// server may be running are left alone.
ResourceAccount::ConnectionId ResourceAccount::FindStalled(
    ConnectionId except,
    bool with_small,
    TimePoint now) const {
  ConnectionId found;
  double highest = 0;
  m_connections.ForEach([&](ConnectionId id, const AccountedConnection& row) {
    const Duration stalled = now - row.m_progress_at;
    const bool small = row.m_bytes <= m_settings.m_small_bytes;
    if (id == except || row.m_closing || (small && !with_small) ||
        row.m_phase == ConnectionPhase::kServing ||
        stalled < m_settings.m_stall_time) {
      return;
    }
    const double weight = static_cast<double>(row.m_bytes) * ToSeconds(stalled);
    if (weight > highest) {
      highest = weight;
      found = id;
    }
  });
  return found;
}

ResourceAccount::ConnectionId ResourceAccount::FindLargestReceiving(
    ConnectionId except) const {
  ConnectionId found;
  uint64_t highest = m_settings.m_small_bytes;
  m_connections.ForEach([&](ConnectionId id, const AccountedConnection& row) {
    if (id != except && !row.m_closing &&
        row.m_phase == ConnectionPhase::kReceiving && row.m_bytes > highest) {
      highest = row.m_bytes;
      found = id;
    }
  });
  return found;
}

bool ResourceAccount::HasConnectionRoom() const {
  const uint64_t limit = m_settings.m_descriptor_limit;
  const uint64_t kept =
      kControlDescriptors + limit / kControlDivisor + limit / kServerDivisor;
  return CountOpen() < m_settings.m_connection_limit &&
         CountOpen() + kept < limit && HasServerConnectionRoom();
}

bool ResourceAccount::HasServerConnectionRoom() const {
  const uint64_t limit = m_settings.m_descriptor_limit;
  const uint64_t kept = kControlDescriptors + limit / kControlDivisor;
  return CountOpen() + m_server_connections + kept < limit;
}

// The closed connection counts no more although its fiber ends only later: what
// it then still holds is less than the margin.
void ResourceAccount::CloseToMakeRoom(ConnectionId id) {
  AccountedConnection& row = m_connections.Get(id);
  row.m_closing = true;
  m_held -= row.m_bytes;
  ++m_closing;
  ++m_closed;
  m_on_close(id);
}

}  // namespace foxtail
