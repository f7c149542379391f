#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"
#include "runtime/http_client.h"

namespace foxtail {

/// A range of shard keys, both ends included.
struct KeyRange {
  uint32_t m_first = 0;
  uint32_t m_last = 0;

  uint32_t Width() const { return m_last - m_first + 1; }
  bool Contains(uint32_t key) const { return m_first <= key && key <= m_last; }
  auto operator<=>(const KeyRange&) const = default;
};

/// Returns the range's name for logs.
std::string NameOf(const KeyRange& range);

/// Outcome of a call to a backend server.
enum class ServerCallOutcome {
  kDone,
  /// The server has seen a higher fencing token.
  kFenced,
  /// The server rejected the call for another reason.
  kRejected,
  /// The connection was refused: no process listens at the server's port.
  kGone,
  /// Another server has the address: the one that the call is for has ended.
  kReplaced,
  /// No response: the call may still be executed later.
  kUnknown,
};

/// Returns the outcome's name for logs.
const char* NameOf(ServerCallOutcome outcome);

/// The server that a call is for. Another server may have its address by the
/// time the call arrives.
struct ServerTarget {
  std::string m_id;
  std::string m_address;
};

/// Calls to backend servers that own keys.
class ServerControl {
 public:
  virtual ~ServerControl() = default;

  /// Grants a range for `ttl`, counted from the arrival of the call. `handover`
  /// is the data that the previous owner returned when it released the range,
  /// or empty.
  virtual ServerCallOutcome Grant(const ServerTarget& server,
                                  const KeyRange& range,
                                  uint64_t fence,
                                  Duration ttl,
                                  const std::string& handover,
                                  Duration timeout) = 0;

  /// Ends a grant. Returns once no request for the range is running. `handover`
  /// receives the data that lets the next owner start warm.
  virtual ServerCallOutcome Release(const ServerTarget& server,
                                    const KeyRange& range,
                                    uint64_t fence,
                                    Duration timeout,
                                    std::string& handover) = 0;
};

}  // namespace foxtail
