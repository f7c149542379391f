#pragma once

#include <json/value.h>

#include "store/records.h"

namespace foxtail {

/// Encodes a row value together with its kind.
Json::Value RecordToJson(const RecordValue& record);

/// Decodes a row value. Throws `Error(kMessageMalformed)`.
RecordValue RecordFromJson(const Json::Value& value);

}  // namespace foxtail
