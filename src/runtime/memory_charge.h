#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include "runtime/resource_account.h"

namespace foxtail {

/// Bytes that are held for a client connection in a `ResourceAccount`; released
/// by the destructor. Without an account, any number is allowed.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  MemoryCharge(std::shared_ptr<ResourceAccount> account,
               ResourceAccount::ConnectionId id)
      : m_account(std::move(account)), m_id(id) {}
  ~MemoryCharge() { Clear(); }

  MemoryCharge(MemoryCharge&& other) noexcept
      : m_account(std::move(other.m_account)),
        m_id(other.m_id),
        m_bytes(std::exchange(other.m_bytes, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    std::swap(m_account, other.m_account);
    std::swap(m_id, other.m_id);
    std::swap(m_bytes, other.m_bytes);
    return *this;
  }

  /// Changes the number of bytes; returns false, without a change, if the
  /// account has no room for more.
  bool TryResize(uint64_t bytes);

  /// Changes the number of bytes of what is in memory already.
  void Resize(uint64_t bytes);

  /// Returns whether the account has room for this many bytes at present.
  bool CanResize(uint64_t bytes) const;

  void Clear() { Resize(0); }

 private:
  std::shared_ptr<ResourceAccount> m_account;
  ResourceAccount::ConnectionId m_id;
  uint64_t m_bytes = 0;
};

}  // namespace foxtail
