#include "gateway/era_key.h"

#include <charconv>
#include <string_view>

namespace foxtail {
namespace {

constexpr std::string_view kEraPrefix = "era-";

}  // namespace

std::string EncodeEraKey(const EraKey& key) {
  return key.m_era == 0 ? key.m_key
                        : std::string(kEraPrefix) + std::to_string(key.m_era) +
                              "/" + key.m_key;
}

EraKey DecodeEraKey(const std::string& stored) {
  if (!stored.starts_with(kEraPrefix)) {
    return {0, stored};
  }
  EraKey key;
  const char* const end = stored.data() + stored.size();
  const auto [rest, failure] =
      std::from_chars(stored.data() + kEraPrefix.size(), end, key.m_era);
  if (failure != std::errc() || rest == end || *rest != '/') {
    return {0, stored};
  }
  key.m_key.assign(rest + 1, end);
  return key;
}

}  // namespace foxtail
