#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "runtime/cancellation.h"
#include "runtime/shared_body.h"

namespace foxtail {

/// Limit on the input of a connection that is held before it is parsed, bytes,
/// beside a head with a limit of its own. The extensions of a chunk have none.
inline constexpr size_t kReadBufferLimit = 128 * 1024;

/// One header field. Names are case-insensitive.
struct HttpHeader {
  std::string m_name;
  std::string m_value;
};

/// Header fields in order of arrival.
class HttpHeaders {
 public:
  /// Returns the value of the first field with this name, or nothing.
  std::optional<std::string> Get(std::string_view name) const;

  /// Returns the value of the first field with this name, or `fallback`.
  std::string GetOr(std::string_view name, std::string_view fallback) const;

  /// Replaces all fields with this name by one.
  void Set(std::string_view name, std::string_view value);

  /// Removes all fields with this name.
  void Remove(std::string_view name);

  /// Appends a field.
  void Add(std::string_view name, std::string_view value);

  /// Returns the number of fields with this name.
  size_t Count(std::string_view name) const;

  const std::vector<HttpHeader>& All() const { return m_fields; }

 private:
  std::vector<HttpHeader> m_fields;
};

/// The rest of a response body that is still being received.
class BodyStream {
 public:
  virtual ~BodyStream() = default;

  /// Replaces `piece` by the next bytes of the body, a bounded number; an empty
  /// piece means that the body is complete. Blocks the calling fiber. Throws
  /// `Error(kNetwork)` if the body breaks off.
  virtual void Read(std::string& piece) = 0;
};

/// A complete HTTP request, independent of the HTTP library.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  SharedBody m_body;

  /// When the first bytes of the request arrived.
  TimePoint m_arrived_at;

  /// Triggered when the client disconnects before the request is answered; may
  /// be null.
  std::shared_ptr<Cancellation> m_cancellation;
};

/// An HTTP response, independent of the HTTP library.
struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;

  /// The part of the body that follows `m_body`; null if `m_body` is the whole
  /// body. `m_body_length` is the length of the whole body in bytes, if known.
  std::shared_ptr<BodyStream> m_body_stream;
  std::optional<uint64_t> m_body_length;
  bool m_close_connection = false;

  /// Closes the connection without a response: after the client has
  /// disconnected, or when a test stand-in simulates a failure.
  bool m_drop_connection = false;
};

}  // namespace foxtail
