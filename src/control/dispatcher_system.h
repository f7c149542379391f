#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Applies dispatchers' reports, expires dispatch leases, and appoints at most
/// one dispatcher for each backend server.
class DispatcherSystem {
 public:
  /// Runs over all cells once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
