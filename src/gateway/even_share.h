#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "routing/routing_config.h"

namespace foxtail {

/// Admits an even part of each workspace's rate without asking anybody. Load
/// pattern: this host is cut off from the leader, so nobody deals out tokens.
class EvenShare {
 public:
  /// Takes a token for a request, if the part of one of `members` daemons still
  /// has one.
  bool TryAcquire(const RoutedWorkspace& workspace,
                  size_t members,
                  TimePoint now);

 private:
  struct Bucket {
    double m_tokens = 0;
    TimePoint m_filled;
  };

  std::map<std::string, Bucket> m_buckets;
};

}  // namespace foxtail
