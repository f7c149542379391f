#pragma once

#include <memory>
#include <utility>

#include "runtime/resource_account.h"

namespace foxtail {

/// A connection to a server that an account counts until the slot is destroyed.
class ServerConnectionSlot {
 public:
  ServerConnectionSlot() = default;

  /// `account` has counted the connection already.
  explicit ServerConnectionSlot(std::shared_ptr<ResourceAccount> account)
      : m_account(std::move(account)) {}
  ~ServerConnectionSlot() {
    if (m_account) {
      m_account->CloseServerConnection();
    }
  }

  ServerConnectionSlot(const ServerConnectionSlot&) = delete;
  ServerConnectionSlot& operator=(const ServerConnectionSlot&) = delete;

 private:
  std::shared_ptr<ResourceAccount> m_account;
};

}  // namespace foxtail
