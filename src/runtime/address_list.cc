#include "runtime/address_list.h"

#include <sstream>

#include "runtime/address.h"

namespace foxtail {

std::vector<std::string> ParseAddressList(const std::string& list) {
  std::vector<std::string> addresses;
  std::istringstream stream(list);
  std::string item;
  while (std::getline(stream, item, ',')) {
    addresses.push_back(ParseAddress(item).ToString());
  }
  if (addresses.empty()) {
    ParseAddress(list);
  }
  return addresses;
}

}  // namespace foxtail
