#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "runtime/memory_charge.h"

namespace foxtail {

/// Bytes of a body that is being received, in one block of memory that grows
/// without a second copy of it.
class BodyBuffer {
 public:
  BodyBuffer() = default;

  /// `charge` counts the block.
  explicit BodyBuffer(MemoryCharge charge) : m_charge(std::move(charge)) {}

  BodyBuffer(BodyBuffer&& other) noexcept { *this = std::move(other); }
  BodyBuffer& operator=(BodyBuffer&& other) noexcept;

  /// Sets the length that the body will have. Reserves no memory for it.
  /// Returns false if there is no room for it at present.
  bool Announce(uint64_t length);

  /// Appends bytes; returns false if there is no room for them.
  bool Append(const void* data, size_t size);

  /// Frees the memory.
  void Clear();

  std::string_view View() const { return {m_block.get(), m_size}; }

 private:
  struct Free {
    void operator()(char* block) const;
  };

  bool Grow(size_t needed);

  MemoryCharge m_charge;
  std::unique_ptr<char, Free> m_block;
  size_t m_size = 0;
  size_t m_capacity = 0;

  /// The length that was announced; 0 if none was.
  uint64_t m_length = 0;
};

}  // namespace foxtail
