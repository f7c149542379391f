#include "runtime/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

#include "core/error.h"

namespace foxtail {

Address ParseAddress(std::string_view text) {
  const std::string detail =
      "address '" + std::string(text) + "' is not IP:PORT";
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw Error(ErrorCode::kSettingInvalid, detail);
  }
  Address address;
  address.m_host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const auto result =
      std::from_chars(port.data(), port.data() + port.size(), address.m_port);
  const bool whole = result.ptr == port.data() + port.size();
  boost::system::error_code failure;
  boost::asio::ip::make_address(address.m_host, failure);
  if (result.ec != std::errc() || !whole || failure) {
    throw Error(ErrorCode::kSettingInvalid, detail);
  }
  return address;
}

}  // namespace foxtail
