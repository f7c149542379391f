#pragma once

#include <json/value.h>

#include <string>

#include "control/control_tables.h"
#include "core/time.h"

namespace foxtail {

/// Describes the state of this control process: all cells and, for the cells
/// that this process controls, their servers, partitions and dispatchers.
Json::Value BuildStatusReport(const ControlTables& tables, TimePoint now);

/// Describes which server owns a key and why. Throws `Error(kRouteUnknown)` for
/// an unknown service, `Error(kNotController)` if this process doesn't control
/// the service's cell and `Error(kPartitionNotServed)` if the key's partition
/// is not in the assignment.
Json::Value ExplainKey(const ControlTables& tables,
                       const std::string& service,
                       const std::string& key,
                       TimePoint now);

}  // namespace foxtail
