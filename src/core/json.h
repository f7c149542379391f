#pragma once

#include <json/value.h>

#include <string>
#include <string_view>

namespace foxtail {

/// Encodes a value on one line.
std::string JsonText(const Json::Value& value);

/// Encodes a value with indentation, for human readers.
std::string JsonPretty(const Json::Value& value);

/// Decodes strictly (no comments, no duplicate names, a limited nesting). Safe
/// on the stack of a fiber. Throws `Error(kMessageMalformed)`.
Json::Value ParseJson(std::string_view text);

/// Decodes strictly. Returns false when `text` is not valid JSON.
bool TryParseJson(std::string_view text, Json::Value& value);

}  // namespace foxtail
