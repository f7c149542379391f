#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/load_report.h"

namespace foxtail {

/// Identifies a request for a permit among all those of one run of a host.
using PermitTicket = uint64_t;

/// A host asks whether it may send a request to a backend server.
struct PermitRequest {
  PermitTicket m_ticket = 0;
  std::string m_service;

  /// The only server that can run the request; empty if any server of the
  /// group can.
  std::string m_server;

  /// The group of servers, for requests that name no server: its data centre
  /// and its number there.
  std::string m_data_centre;
  uint32_t m_group = 0;

  /// 0 is the most urgent.
  uint32_t m_priority = 0;

  /// Time until the client stops waiting, and until the target latency of its
  /// route; the latter is negative once it has passed.
  std::chrono::milliseconds m_time_left{};
  std::chrono::milliseconds m_target_left{};

  /// The client was refused before and has come back.
  bool m_returning = false;

  /// Servers that must not be chosen because the request was at them already.
  std::vector<std::string> m_excluded;
};

/// Answer to a request for a permit.
enum class PermitState : uint8_t {
  /// The host may send the request to the named server now.
  kGranted,
  /// The request waits for its turn; another decision follows.
  kQueued,
  /// The request cannot be served in time.
  kRefused,
  /// The asked host does not schedule this server.
  kUnavailable,
};

/// A scheduler's decision on a request for a permit.
struct PermitDecision {
  PermitTicket m_ticket = 0;
  PermitState m_state = PermitState::kUnavailable;

  /// The server to send to, if granted.
  std::string m_server;

  /// When to come back, if refused.
  std::chrono::milliseconds m_retry_after{};

  /// How long a request of the same priority that arrives now would wait.
  std::chrono::milliseconds m_expected_wait{};
};

/// How the use of a permit ended.
enum class PermitEnd : uint8_t {
  /// The request was not sent, because its client left or its server changed.
  kNotUsed,
  /// The server responded with a status below 500.
  kResponded,
  /// The server responded with a status of 500 or above.
  kServerError,
  /// The server refused the request without running it.
  kRefused,
  /// The server does not own the key, or the address has another server.
  kMisdirected,
  /// No connection could be made.
  kUnreachable,
  /// The request was sent and no valid response arrived.
  kUnanswered,
};

/// A host returns a permit with what the exchange showed of the server.
struct PermitReturn {
  PermitTicket m_ticket = 0;
  PermitEnd m_end = PermitEnd::kNotUsed;

  /// From sending the request to its response, or to the end of the attempt.
  std::chrono::microseconds m_latency{};
  std::optional<LoadReport> m_load;

  /// For how long the server wants no further request; 0 if it does not say.
  std::chrono::milliseconds m_pause{};

  /// The server has told that it is about to shut down.
  bool m_leaving = false;
};

/// A ticket whose permit the host holds, with the permit's server, or that
/// waits for one, without a server.
struct HeldPermit {
  PermitTicket m_ticket = 0;
  std::string m_server;
};

/// Datagram from a host to a scheduler. A repeated message has no further
/// effect.
struct PermitRequests {
  /// Where to send the decisions, and the run of the host.
  std::string m_address;
  std::string m_incarnation;
  std::vector<PermitRequest> m_requests;
  std::vector<PermitReturn> m_returns;

  /// If set, `m_held` lists all permits up to `m_last_ticket` that the host
  /// holds from this scheduler or waits for; others up to that one have ended.
  bool m_complete = false;
  PermitTicket m_last_ticket = 0;
  std::vector<HeldPermit> m_held;
};

/// Datagram from a scheduler to a host.
struct PermitDecisions {
  std::string m_scheduler;
  std::vector<PermitDecision> m_decisions;
};

}  // namespace foxtail
