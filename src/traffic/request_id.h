#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "core/time.h"

namespace foxtail {

/// A request id of the form UNIX_MILLISECONDS-NAME. The time lets a dispatcher
/// tell whether it must know an earlier request with the same id.
struct RequestId {
  std::string m_text;
  WallTime m_issued_at;
};

/// Reads an id. Throws `Error(kRequestIdMalformed)` when it has another form or
/// was issued more than `ahead` after `now`.
RequestId ParseRequestId(std::string_view text, WallTime now, Duration ahead);

/// Makes a new id that was issued at `now`.
RequestId MakeRequestId(WallTime now);

}  // namespace foxtail
