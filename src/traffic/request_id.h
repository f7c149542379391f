#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "core/time.h"

namespace foxtail {

/// A request id of the form UNIX_MILLISECONDS-NAME. From the time, a dispatcher
/// determines whether its deduplication state would contain an earlier request
/// with the same id.
struct RequestId {
  std::string m_text;
  WallTime m_issued_at;
};

/// Parses an id. Throws `Error(kRequestIdMalformed)` if the form is wrong or if
/// the id was issued more than `max_lead` after `now`.
RequestId ParseRequestId(std::string_view text,
                         WallTime now,
                         Duration max_lead);

/// Creates a random id that is issued at `now`.
RequestId MakeRequestId(WallTime now);

}  // namespace foxtail
