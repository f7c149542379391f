#pragma once

#include <optional>

#include "control/control_messages.h"
#include "traffic/token_holder.h"

namespace foxtail {

/// Hands out the tokens of each workspace's rate and burst. Tokens that are out
/// count against the burst until they are given back or their life is over.
class TokenSystem {
 public:
  /// Answers all requests for tokens that arrived.
  void Run(ControlContext& context);

 private:
  uint64_t m_epoch = 0;
  std::optional<TokenHolder> m_issuer;
};

}  // namespace foxtail
