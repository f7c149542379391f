#include "traffic/access_index.h"

#include <algorithm>

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {

AccessIndex::AccessIndex(std::shared_ptr<const AccessView> view)
    : m_view(std::move(view)) {
  for (const WorkspaceConfig& workspace : m_view->m_workspaces) {
    for (const ApiKeyConfig& key : workspace.m_api_keys) {
      m_by_digest.emplace(key.m_digest, &workspace);
    }
  }
}

const WorkspaceConfig& AccessIndex::Authenticate(
    std::string_view secret) const {
  // The lookup need not run in constant time: a client cannot choose digests,
  // so the timing reveals nothing useful about stored keys.
  const auto found = m_by_digest.find(SecretDigest(secret));
  if (found == m_by_digest.end()) {
    throw Error(ErrorCode::kApiKeyUnknown);
  }
  return *found->second;
}

void AccessIndex::RequireAllowed(const WorkspaceConfig& workspace,
                                 const std::string& service) {
  if (std::ranges::find(workspace.m_services, service) ==
      workspace.m_services.end()) {
    throw Error(ErrorCode::kWorkspaceNotAllowed, workspace.m_name);
  }
}

}  // namespace foxtail
