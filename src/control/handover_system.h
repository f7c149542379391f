#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Completes each recorded change of owner. The new owner receives requests
/// only after the previous owner's rights have ended.
class HandoverSystem {
 public:
  /// Runs over all partitions once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
