#include "core/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

#include "core/error.h"

namespace foxtail {
namespace {

// The parser recurses once for each level of nesting, and the stack of a fiber
// is small. The deepest documents of this project have fewer than ten levels.
constexpr int kMaxNesting = 32;

bool Parse(std::string_view text, Json::Value& value, std::string& errors) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxNesting;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value,
                         &errors);
  } catch (const Json::Exception& failure) {
    errors = failure.what();
    return false;
  }
}

}  // namespace

std::string JsonText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string JsonPretty(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, value);
}

Json::Value ParseJson(std::string_view text) {
  Json::Value value;
  std::string errors;
  if (!Parse(text, value, errors)) {
    throw Error(ErrorCode::kMessageMalformed, errors);
  }
  return value;
}

bool TryParseJson(std::string_view text, Json::Value& value) {
  std::string errors;
  return Parse(text, value, errors);
}

}  // namespace foxtail
