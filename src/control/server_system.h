#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Probes backend servers and decides which are up.
class ServerSystem {
 public:
  /// Runs over all servers once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
