#include "runtime/http_message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace foxtail {
namespace {

// Boost.Beast compares without a locale. A comparison with a locale takes half
// of the processor time of a rejected request.
auto HasName(std::string_view name) {
  return [name](const HttpHeader& field) {
    return boost::beast::iequals(field.m_name, name);
  };
}

}  // namespace

std::optional<std::string> HttpHeaders::Get(std::string_view name) const {
  const auto found = std::ranges::find_if(m_fields, HasName(name));
  if (found == m_fields.end()) {
    return std::nullopt;
  }
  return found->m_value;
}

std::string HttpHeaders::GetOr(std::string_view name,
                               std::string_view fallback) const {
  return Get(name).value_or(std::string(fallback));
}

void HttpHeaders::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(m_fields, HasName(name));
}

void HttpHeaders::Add(std::string_view name, std::string_view value) {
  m_fields.push_back({std::string(name), std::string(value)});
}

size_t HttpHeaders::Count(std::string_view name) const {
  return static_cast<size_t>(std::ranges::count_if(m_fields, HasName(name)));
}

}  // namespace foxtail
