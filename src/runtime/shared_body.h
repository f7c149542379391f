#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/body_buffer.h"

namespace foxtail {

/// The immutable body of a request. Copies share the bytes, which a body of the
/// limit on a small machine depends on.
class SharedBody {
 public:
  SharedBody() = default;
  SharedBody(std::string text);  // NOLINT: a body is given as its text
  SharedBody(const char* text);  // NOLINT
  explicit SharedBody(BodyBuffer buffer);

  std::string_view View() const { return m_view; }
  operator std::string_view() const { return m_view; }  // NOLINT
  size_t size() const { return m_view.size(); }
  bool empty() const { return m_view.empty(); }  // NOLINT

 private:
  std::shared_ptr<const void> m_owner;
  std::string_view m_view;
};

}  // namespace foxtail
