#include "traffic/request_id.h"

#include <algorithm>
#include <charconv>

#include "core/digest.h"
#include "core/error.h"

namespace foxtail {
namespace {

constexpr size_t kTimeDigits = 13;
constexpr size_t kMaxNameSize = 64;  // characters

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

}  // namespace

RequestId ParseRequestId(std::string_view text,
                         WallTime now,
                         Duration max_lead) {
  const bool well_formed = text.size() > kTimeDigits + 1 &&
                           text.size() <= kTimeDigits + 1 + kMaxNameSize &&
                           text[kTimeDigits] == '-' &&
                           std::ranges::all_of(text, IsIdCharacter);
  uint64_t milliseconds = 0;
  const auto result = std::from_chars(
      text.data(), text.data() + std::min(kTimeDigits, text.size()),
      milliseconds);
  if (!well_formed || result.ec != std::errc() ||
      result.ptr != text.data() + kTimeDigits) {
    throw Error(ErrorCode::kRequestIdMalformed);
  }
  const WallTime issued{
      std::chrono::milliseconds(static_cast<int64_t>(milliseconds))};
  if (issued - now > max_lead) {
    throw Error(ErrorCode::kRequestIdMalformed, "issued in the future");
  }
  return {std::string(text), issued};
}

RequestId MakeRequestId(WallTime now) {
  return {std::to_string(now.time_since_epoch().count()) + "-" + RandomToken(),
          now};
}

}  // namespace foxtail
