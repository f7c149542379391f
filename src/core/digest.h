#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

/// Returns the SHA-256 of a secret as lower-case hexadecimal. API keys are
/// stored and compared only in this form.
std::string SecretDigest(std::string_view secret);

/// Returns a fast, non-cryptographic hash of a partition key or of a request's
/// content.
uint64_t FastHash(std::string_view text, uint64_t seed = 0);

/// Returns 128 random bits from the system's generator as hexadecimal.
std::string RandomToken();

}  // namespace foxtail
