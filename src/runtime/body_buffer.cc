#include "runtime/body_buffer.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>
#include <utility>

namespace foxtail {
namespace {

// A block grows by its own size within these limits. The upper limit bounds
// what stays unused at its end.
constexpr size_t kMinGrowth = 4 * 1024;    // bytes
constexpr size_t kMaxGrowth = 256 * 1024;  // bytes

}  // namespace

void BodyBuffer::Free::operator()(char* block) const {
  std::free(block);
}

BodyBuffer& BodyBuffer::operator=(BodyBuffer&& other) noexcept {
  m_charge = std::move(other.m_charge);
  m_block = std::move(other.m_block);
  m_size = std::exchange(other.m_size, 0);
  m_capacity = std::exchange(other.m_capacity, 0);
  m_length = std::exchange(other.m_length, 0);
  return *this;
}

bool BodyBuffer::Announce(uint64_t length) {
  m_length = length;
  return m_charge.CanResize(length);
}

bool BodyBuffer::Append(const void* data, size_t size) {
  if (m_size + size > m_capacity && !Grow(m_size + size)) {
    return false;
  }
  if (size > 0) {
    std::memcpy(m_block.get() + m_size, data, size);
  }
  m_size += size;
  return true;
}

// The allocator moves the pages of a large block instead of copying it, which a
// string or vector cannot make use of.
bool BodyBuffer::Grow(size_t needed) {
  size_t capacity = std::max(
      needed, m_capacity + std::clamp(m_capacity, kMinGrowth, kMaxGrowth));
  if (m_length >= needed) {
    capacity = std::min<uint64_t>(capacity, m_length);
  }
  if (!m_charge.TryResize(capacity)) {
    return false;
  }
  char* block =
      static_cast<char*>(std::realloc(m_block.get(), capacity));  // NOLINT
  if (!block) {
    throw std::bad_alloc();
  }
  static_cast<void>(m_block.release());
  m_block.reset(block);
  m_capacity = capacity;
  return true;
}

void BodyBuffer::Clear() {
  m_block.reset();
  m_charge.Clear();
  m_size = 0;
  m_capacity = 0;
}

}  // namespace foxtail
