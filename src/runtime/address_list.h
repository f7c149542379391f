#pragma once

#include <string>
#include <vector>

namespace foxtail {

/// Parses "IP:PORT,IP:PORT". Throws `Error(kSettingInvalid)` when an element is
/// not an address or the list is empty.
std::vector<std::string> ParseAddressList(const std::string& list);

}  // namespace foxtail
