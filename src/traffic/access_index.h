#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "messages/sync_messages.h"

namespace foxtail {

/// Looks up the workspace of an API key. Immutable once built.
class AccessIndex {
 public:
  explicit AccessIndex(std::shared_ptr<const AccessView> view);

  /// Returns the workspace of a secret. Throws `Error(kApiKeyUnknown)`.
  const WorkspaceConfig& Authenticate(std::string_view secret) const;

  /// Throws `Error(kWorkspaceNotAllowed)` unless the workspace may call the
  /// service.
  static void RequireAllowed(const WorkspaceConfig& workspace,
                             const std::string& service);

  uint64_t GetVersion() const { return m_view->m_version; }
  const AccessView& GetView() const { return *m_view; }

 private:
  std::shared_ptr<const AccessView> m_view;
  std::unordered_map<std::string, const WorkspaceConfig*> m_by_digest;
};

}  // namespace foxtail
