#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/cancellation.h"

namespace foxtail {

/// One header field; names are compared without regard to case.
struct HttpHeader {
  std::string m_name;
  std::string m_value;
};

/// Header fields in order of arrival.
class HttpHeaders {
 public:
  /// Returns the value of the first field with this name, or nothing.
  std::optional<std::string> Get(std::string_view name) const;

  /// Returns the value of the field, or an empty string.
  std::string GetOr(std::string_view name, std::string_view fallback) const;

  /// Replaces all fields with this name by one.
  void Set(std::string_view name, std::string_view value);

  /// Removes all fields with this name.
  void Remove(std::string_view name);

  /// Appends a field.
  void Add(std::string_view name, std::string_view value);

  /// Returns how many fields have this name.
  size_t Count(std::string_view name) const;

  const std::vector<HttpHeader>& All() const { return m_fields; }

 private:
  std::vector<HttpHeader> m_fields;
};

/// A complete HTTP request, free of any library's types.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;

  /// Triggered when the client leaves before it was answered; may be null.
  std::shared_ptr<Cancellation> m_cancellation;
};

/// A complete HTTP response, free of any library's types.
struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
  bool m_close_connection = false;

  /// Drop the connection instead of answering; for stand-ins of failures.
  bool m_drop_connection = false;
};

}  // namespace foxtail
