#pragma once

#include "control/control_messages.h"

namespace foxtail {

/// Records which other control processes respond, and removes silent ones.
class PeerSystem {
 public:
  /// Runs over all peers once.
  void Run(ControlContext& context);
};

}  // namespace foxtail
