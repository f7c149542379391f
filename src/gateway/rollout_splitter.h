#pragma once

#include <map>
#include <optional>
#include <string>

#include "gateway/routing_snapshot.h"

namespace foxtail {

/// Which servers of a service one request may use while a rollout is in force.
/// By default, any server.
class VersionChoice {
 public:
  VersionChoice() = default;

  /// Any server that keys may belong to, if no group is chosen.
  VersionChoice(const ServiceEndpoints& endpoints,
                std::optional<VersionGroup> group);

  /// Returns whether this host may send the request to the server now.
  bool Allows(const RoutedServer& server) const;

 private:
  const RoutedRollout* m_rollout = nullptr;
  std::optional<VersionGroup> m_group;

  /// No server of the target version is left.
  bool m_target_lost = false;
};

/// Splits the requests for services without shard keys between the target
/// version of a rollout and the others, exactly by the share and over all
/// hosts.
class RolloutSplitter {
 public:
  /// Returns the group that the next request of a service goes to.
  VersionGroup Choose(const std::string& service,
                      const RoutedRollout& rollout,
                      const MemberPosition& position);

  /// Forgets services without a rollout.
  void Expire(const RoutingSnapshot& snapshot);

 private:
  /// Requests that the target version is owed, by order.
  struct Balance {
    uint64_t m_order = 0;
    double m_owed = 0;
  };
  std::map<std::string, Balance> m_balances;
};

}  // namespace foxtail
