#include "runtime/cluster_request.h"

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {

HttpRequest BuildClusterRequest(const std::string& target,
                                const std::string& secret,
                                std::string body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = target;
  request.m_headers.Set(kClusterHeader, secret);
  request.m_body = std::move(body);
  return request;
}

void RequireClusterSecret(const HttpRequest& request,
                          const std::string& secret) {
  // Digests are compared instead of the secrets, so that the duration of the
  // comparison reveals nothing about the secret.
  const std::string received_secret =
      request.m_headers.GetOr(kClusterHeader, "");
  if (SecretDigest(received_secret) != SecretDigest(secret)) {
    throw Error(ErrorCode::kClusterSecretWrong);
  }
}

}  // namespace foxtail
