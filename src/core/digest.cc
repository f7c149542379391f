#include "core/digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <array>
#include <random>

#include "core/error.h"

namespace foxtail {

std::string SecretDigest(std::string_view secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes = {};
  unsigned int length = 0;
  const int done = EVP_Digest(secret.data(), secret.size(), bytes.data(),
                              &length, EVP_sha256(), nullptr);
  if (done != 1) {
    throw Error(ErrorCode::kInternal, "digest");
  }
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text += fmt::format("{:02x}", bytes[i]);
  }
  return text;
}

uint64_t FastHash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string RandomToken() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(),
                     device());
}

}  // namespace foxtail
