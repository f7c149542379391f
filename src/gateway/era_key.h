#pragma once

#include <cstdint>
#include <string>

namespace foxtail {

/// A key of the gateways' own tables, and the era of the store to which its row
/// belongs. Each era has rows of its own, so that a write meant for one era
/// cannot change a row of another.
struct EraKey {
  uint64_t m_era = 0;
  std::string m_key;
};

/// Returns the stored key of a row; in era 0, the key itself.
std::string EncodeEraKey(const EraKey& key);

/// Returns the era and the key of a stored key.
EraKey DecodeEraKey(const std::string& stored);

}  // namespace foxtail
