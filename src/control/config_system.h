#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Polls the configuration in force and reconciles the tables with it.
class ConfigSystem {
 public:
  /// Runs once over all cells, servers, partitions and workspaces.
  void Run(ControlContext& context);
};

}  // namespace foxtail
