#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Sends and renews grants to the backend servers that check fencing epochs.
class GrantSystem {
 public:
  /// Runs over all servers once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
