#pragma once

#include <json/value.h>

#include <string>

#include "control/control_tables.h"
#include "core/time.h"

namespace foxtail {

/// Describes what this control process knows: its cells, and for those it
/// controls their servers, partitions and dispatchers.
Json::Value BuildStatusReport(const ControlTables& tables, TimePoint now);

/// Explains where a key is served and why. Throws `Error(kNotController)` when
/// this process does not control the service's cell.
Json::Value ExplainKey(const ControlTables& tables,
                       const std::string& service,
                       const std::string& key,
                       TimePoint now);

}  // namespace foxtail
