#pragma once

#include <map>
#include <string>

#include "core/time.h"

namespace foxtail {

/// Tells first attempts of clients from those that come back after a refusal. A
/// client states how long it still waits, and that is less when it comes back.
/// Answers the load in which refused requests return among fresh ones: they
/// have waited longer, and their target latency is closer.
class ClientPatience {
 public:
  /// Returns how long ago the client made its first attempt, 0 if it just did.
  /// `deadline` is the time that the client still waits.
  Duration OnRequest(const std::string& route, Duration deadline);

 private:
  /// The longest time that a client of the route waits.
  std::map<std::string, Duration> m_longest;
};

}  // namespace foxtail
