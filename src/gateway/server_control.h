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

/// How an order to a backend server ended.
enum class ServerCallOutcome {
  kDone,
  /// The server has seen a higher fencing token.
  kFenced,
  /// The server refused the order for another reason.
  kRejected,
  /// The server's process is gone: its port has no listener.
  kGone,
  /// No answer: the order may be carried out later.
  kUnknown,
};

/// Returns the outcome's name for logs.
const char* NameOf(ServerCallOutcome outcome);

/// Orders to backend servers that own keys.
class ServerControl {
 public:
  virtual ~ServerControl() = default;

  /// Grants a range for `hold`, counted from its arrival. `handover` is what
  /// the last owner gave at its release, or empty.
  virtual ServerCallOutcome Grant(const std::string& address,
                                  const KeyRange& range,
                                  uint64_t fence,
                                  Duration hold,
                                  const std::string& handover,
                                  Duration timeout) = 0;

  /// Ends a grant; returns once nothing runs on the range. `handover` receives
  /// what the next owner needs to begin warm.
  virtual ServerCallOutcome Release(const std::string& address,
                                    const KeyRange& range,
                                    uint64_t fence,
                                    Duration timeout,
                                    std::string& handover) = 0;
};

}  // namespace foxtail
