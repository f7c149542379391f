#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

/// An IP address and a TCP port.
struct Address {
  std::string m_host;
  uint16_t m_port = 0;

  std::string ToString() const { return m_host + ":" + std::to_string(m_port); }
  bool operator==(const Address&) const = default;
};

/// Parses "IP:PORT". Throws `Error(kSettingInvalid)` when `text` has another
/// format.
Address ParseAddress(std::string_view text);

}  // namespace foxtail
