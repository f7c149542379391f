#pragma once

#include <string>
#include <variant>

#include "scheduling/permit_messages.h"

namespace foxtail {

/// Any datagram between a host and a scheduler.
using PermitMessage = std::variant<PermitRequests, PermitDecisions>;

std::string EncodePermitMessage(const PermitMessage& message);

/// Throws `Error(kMessageMalformed)`.
PermitMessage DecodePermitMessage(const std::string& bytes);

}  // namespace foxtail
