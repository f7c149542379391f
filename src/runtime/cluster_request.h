#pragma once

#include <string>

#include "runtime/http_message.h"

namespace foxtail {

/// Header by which the project's own processes know each other.
inline constexpr const char* kClusterHeader = "x-foxtail-cluster";

/// Builds a POST between the project's own processes.
HttpRequest BuildClusterRequest(const std::string& target,
                                const std::string& secret,
                                std::string body);

/// Throws `Error(kClusterSecretWrong)` unless the request shows the secret.
void RequireClusterSecret(const HttpRequest& request,
                          const std::string& secret);

}  // namespace foxtail
