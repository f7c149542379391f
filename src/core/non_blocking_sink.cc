#include "core/non_blocking_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace foxtail {
namespace {

// Limit on the lines that wait for a slow reader.
constexpr size_t kMaxPending = 256 * 1024;  // bytes

}  // namespace

uint64_t NonBlockingSink::TakeDropped() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return m_pending.empty() ? std::exchange(m_dropped, 0) : 0;
}

void NonBlockingSink::sink_it_(const spdlog::details::log_msg& message) {
  WritePending();
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (m_pending.size() + line.size() > kMaxPending) {
    ++m_dropped;
    return;
  }
  m_pending.append(line.data(), line.size());
}

// The descriptor stays in blocking mode, which other processes may share. A
// pipe that is writable takes at least PIPE_BUF bytes without blocking.
bool NonBlockingSink::IsWritable() const {
  pollfd descriptor{m_descriptor, POLLOUT, 0};
  return poll(&descriptor, 1, 0) != 0;
}

void NonBlockingSink::WritePending() {
  while (!m_pending.empty() && IsWritable()) {
    const size_t size = std::min<size_t>(m_pending.size(), PIPE_BUF);
    const ssize_t written = write(m_descriptor, m_pending.data(), size);
    if (written >= 0) {
      m_pending.erase(0, static_cast<size_t>(written));
    } else if (errno != EINTR) {
      DropPending();
    }
  }
}

// The reader has ended or the device is full: the lines cannot be delivered.
void NonBlockingSink::DropPending() {
  m_dropped += static_cast<uint64_t>(
      std::count(m_pending.begin(), m_pending.end(), '\n'));
  m_pending.clear();
}

}  // namespace foxtail
