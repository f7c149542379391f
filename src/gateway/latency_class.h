#pragma once

#include <cstddef>

#include "core/time.h"

namespace foxtail {

/// Returns the class of a latency: 0 up to 2 ms, each next one 1.35 times as
/// long, the last one without a limit. Less than `kLatencyClasses`.
size_t LatencyClassOf(Duration latency);

}  // namespace foxtail
