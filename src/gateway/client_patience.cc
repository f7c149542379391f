#include "gateway/client_patience.h"

#include <algorithm>

namespace foxtail {
namespace {

// Clients of one route that wait for different times are not told from clients
// that come back, so only the most patient ones count as making a first attempt
// with certainty. Smaller differences are the transfer of the request.
constexpr std::chrono::milliseconds kTransfer{30};

}  // namespace

Duration ClientPatience::OnRequest(const std::string& route,
                                   Duration deadline) {
  Duration& longest = m_longest[route];
  longest = std::max(longest, deadline);
  const Duration ago = longest - deadline;
  return ago > kTransfer ? ago : Duration(0);
}

}  // namespace foxtail
