#pragma once

#include <json/value.h>

#include <vector>

#include "config/configuration.h"
#include "config/field_reader.h"

namespace foxtail {

/// Encodes a configuration as a document of the operators' JSON format.
Json::Value ConfigurationToJson(const Configuration& configuration);

/// Decodes and validates a document; adds every error with its path. The result
/// is usable only if no error was added.
Configuration ConfigurationFromJson(const Json::Value& document,
                                    std::vector<ValidationError>& errors);

}  // namespace foxtail
