#pragma once

#include <compare>
#include <cstdint>

namespace foxtail {

/// Index and sequence of a table row. The sequence distinguishes the row from
/// earlier rows at the same index. `Tag` makes ids of different tables
/// different types.
template <typename Tag>
struct TypedId {
  static constexpr uint32_t kNone = UINT32_MAX;

  uint32_t m_index = kNone;
  uint32_t m_sequence = 0;

  bool IsValid() const { return m_index != kNone; }
  auto operator<=>(const TypedId&) const = default;
};

}  // namespace foxtail
