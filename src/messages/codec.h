#pragma once

#include <string>

#include "messages/sync_messages.h"

namespace foxtail {

/// Encode and decode the messages between the project's own processes in a
/// compact binary format. Decoders throw `Error(kMessageMalformed)`.
std::string EncodeMessage(const SyncRequest& message);
std::string EncodeMessage(const SyncResponse& message);
std::string EncodeMessage(const TokenRequest& message);
std::string EncodeMessage(const TokenResponse& message);
void DecodeMessage(const std::string& bytes, SyncRequest& message);
void DecodeMessage(const std::string& bytes, SyncResponse& message);
void DecodeMessage(const std::string& bytes, TokenRequest& message);
void DecodeMessage(const std::string& bytes, TokenResponse& message);

}  // namespace foxtail
