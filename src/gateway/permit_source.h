#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/routing_snapshot.h"
#include "runtime/cancellation.h"
#include "scheduling/permit_messages.h"
#include "scheduling/permit_scheduler.h"

namespace foxtail {

/// A request that needs a permit.
struct PermitQuery {
  std::string m_service;

  /// The owner of the request's key; null if any server can run the request.
  const RoutedServer* m_owner = nullptr;
  uint32_t m_priority = 0;
  TimePoint m_deadline;
  TimePoint m_target_at;
  bool m_returning = false;

  /// Servers that the request was at already.
  std::set<std::string> m_tried_servers;
  std::shared_ptr<Cancellation> m_cancellation;

  /// Asked while the request waits; it stops waiting when this returns false.
  std::function<bool()> m_still_wanted;
};

/// Answer to a `PermitQuery`.
struct PermitAnswer {
  /// `kQueued` if the request stopped waiting.
  PermitState m_state = PermitState::kUnavailable;
  PermitTicket m_ticket = 0;

  /// The server to send to, if granted.
  std::string m_server;

  /// When to come back, if refused.
  Duration m_retry_after{};
};

/// Source of the permits that the request path needs before it sends a request
/// to a backend server.
class PermitSource {
 public:
  virtual ~PermitSource() = default;

  virtual void OnSnapshot(
      const std::shared_ptr<const RoutingSnapshot>& snapshot) = 0;

  /// Returns whether the settings or the configuration ask for permits.
  virtual bool IsOn() const = 0;

  /// Waits for a permit. An answer of `kGranted` must be followed by `Return`.
  virtual PermitAnswer Acquire(const PermitQuery& query) = 0;

  /// Returns a permit with what the exchange showed.
  virtual void Return(PermitTicket ticket, const PermitReturn& outcome) = 0;

  /// Returns what became of the requests for permits of this host's servers
  /// since the last call.
  virtual std::vector<PermitCounts> TakeCounts() = 0;
};

}  // namespace foxtail
