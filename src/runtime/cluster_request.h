#pragma once

#include <string>

#include "runtime/http_message.h"

namespace foxtail {

/// Header field that holds the cluster secret in requests between the project's
/// own processes.
inline constexpr const char* kClusterHeader = "x-foxtail-cluster";

/// Builds a POST request to another of the project's own processes.
HttpRequest BuildClusterRequest(const std::string& target,
                                const std::string& secret,
                                std::string body);

/// Throws `Error(kClusterSecretWrong)` unless the request holds the cluster
/// secret.
void RequireClusterSecret(const HttpRequest& request,
                          const std::string& secret);

}  // namespace foxtail
