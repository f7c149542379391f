#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Acquires, renews, extends and releases the control lease of each cell.
class LeaseSystem {
 public:
  /// Runs over all cells once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
