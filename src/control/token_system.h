#pragma once

#include <optional>

#include "control/control_messages.h"
#include "traffic/token_issuer.h"

namespace foxtail {

/// Issues tokens within each workspace's rate and burst. Issued tokens count
/// against the burst until they are returned or expire.
class TokenSystem {
 public:
  /// Responds to all token requests received since the last tick.
  void Run(ControlContext& context);

 private:
  uint64_t m_epoch = 0;
  std::optional<TokenIssuer> m_issuer;
};

}  // namespace foxtail
