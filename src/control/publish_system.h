#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Builds the routes of each cell and responds to pending sync requests.
class PublishSystem {
 public:
  /// Runs over all cells once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
