#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Loads the recorded owners of a cell after a takeover, and writes each change
/// of owner to the platform before any process acts on it.
class AssignmentSystem {
 public:
  /// Runs over all cells once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
