#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <string>

#include "core/error.h"

namespace foxtail {

/// Encodes `parts` in the compact binary format of all messages and records.
template <typename... Parts>
std::string ToArchive(const Parts&... parts) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(parts...);
  return std::move(stream).str();
}

/// Calls `body(archive)` to decode `bytes`. Throws `Error(kMessageMalformed)`
/// when the bytes do not match what `body` reads.
template <typename Body>
void FromArchive(const std::string& bytes, Body body) {
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    body(archive);
  } catch (const Error&) {
    throw;
  } catch (const std::exception& failure) {
    throw Error(ErrorCode::kMessageMalformed, failure.what());
  }
}

}  // namespace foxtail
