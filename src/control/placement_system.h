#pragma once

#include <memory>

#include "control/control_messages.h"
#include "control/placement_strategy.h"

namespace foxtail {

/// Decides which partitions change owner and which server receives them.
/// Partitions move away from lost and leaving servers, to the server that a
/// pinned key names, and from overloaded servers to less loaded ones.
class PlacementSystem {
 public:
  explicit PlacementSystem(std::unique_ptr<PlacementStrategy> strategy);

  /// Runs over all cells once.
  void Run(ControlContext& context);

 private:
  std::unique_ptr<PlacementStrategy> m_strategy;
};

}  // namespace foxtail
