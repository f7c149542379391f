#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Collects from all dispatchers of a cell which requests were in flight when
/// backend servers crashed, and quarantines requests that repeatedly crashed a
/// server while no other request was in flight.
class CrashSystem {
 public:
  /// Applies reports and erases expired rows.
  void Run(ControlContext& context);
};

}  // namespace foxtail
