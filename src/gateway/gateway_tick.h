#pragma once

#include "gateway/gateway_tables.h"

namespace foxtail {

/// Runs the control systems once, in order, and sets `m_next_tick_at`.
void RunGatewayTick(GatewayTables& tables, const Now& now);

}  // namespace foxtail
