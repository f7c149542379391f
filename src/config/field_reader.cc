#include "config/field_reader.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr size_t kMaxNameLength = 64;   // characters
constexpr size_t kMaxTextLength = 256;  // characters

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

}  // namespace

FieldReader::FieldReader(const Json::Value& object,
                         std::string path,
                         std::vector<ValidationError>& errors)
    : m_object(object), m_path(std::move(path)), m_errors(errors) {
  if (!m_object.isObject()) {
    m_errors.push_back({m_path, "must be an object"});
  }
}

FieldReader::~FieldReader() {
  if (!m_object.isObject()) {
    return;
  }
  for (const std::string& member : m_object.getMemberNames()) {
    if (!m_read_fields.contains(member)) {
      AddError(member.c_str(), "unknown field");
    }
  }
}

const Json::Value& FieldReader::GetMember(const char* field) {
  m_read_fields.insert(field);
  static const Json::Value null;
  return m_object.isObject() ? m_object[field] : null;
}

std::string FieldReader::PathOf(const char* field) const {
  return m_path.empty() ? field : m_path + "." + field;
}

void FieldReader::AddError(const char* field, const std::string& reason) {
  m_errors.push_back({PathOf(field), reason});
}

std::string FieldReader::ReadText(const char* field) {
  const Json::Value& value = GetMember(field);
  if (!value.isString() || value.asString().empty() ||
      value.asString().size() > kMaxTextLength) {
    AddError(field, "must be a text of 1 to 256 characters");
    return "";
  }
  return value.asString();
}

std::string FieldReader::ReadName(const char* field) {
  const Json::Value& value = GetMember(field);
  const std::string text = value.isString() ? value.asString() : "";
  if (text.empty() || text.size() > kMaxNameLength ||
      !std::ranges::all_of(text, IsNameCharacter)) {
    AddError(field, "must be 1 to 64 letters, digits, '.', '-' or '_'");
    return "";
  }
  return text;
}

uint32_t FieldReader::ReadInteger(const char* field,
                                  uint32_t fallback,
                                  uint32_t min,
                                  uint32_t max) {
  const Json::Value& value = GetMember(field);
  if (value.isNull()) {
    return fallback;
  }
  if (!value.isUInt() || value.asUInt() < min || value.asUInt() > max) {
    AddError(field, "must be a whole number from " + std::to_string(min) +
                        " to " + std::to_string(max));
    return fallback;
  }
  return value.asUInt();
}

double FieldReader::ReadPositive(const char* field, double max) {
  const Json::Value& value = GetMember(field);
  if (!value.isNumeric() || !(value.asDouble() > 0) || value.asDouble() > max) {
    AddError(field, "must be a number above 0 and at most " +
                        std::to_string(static_cast<int64_t>(max)));
    return 1;
  }
  return value.asDouble();
}

bool FieldReader::ReadBool(const char* field, bool fallback) {
  const Json::Value& value = GetMember(field);
  if (value.isNull()) {
    return fallback;
  }
  if (!value.isBool()) {
    AddError(field, "must be true or false");
    return fallback;
  }
  return value.asBool();
}

size_t FieldReader::ReadChoice(const char* field,
                               const std::vector<std::string>& choices) {
  const Json::Value& value = GetMember(field);
  if (value.isNull()) {
    return 0;
  }
  const auto found = value.isString()
                         ? std::ranges::find(choices, value.asString())
                         : choices.end();
  if (found == choices.end()) {
    std::string allowed;
    for (const std::string& choice : choices) {
      allowed += (allowed.empty() ? "" : ", ") + choice;
    }
    AddError(field, "must be one of: " + allowed);
    return 0;
  }
  return static_cast<size_t>(found - choices.begin());
}

}  // namespace foxtail
