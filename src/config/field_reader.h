#pragma once

#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace foxtail {

/// An error in a document, with its location.
struct ValidationError {
  /// Path such as "services[0].servers[2].slots".
  std::string m_path;
  std::string m_reason;

  bool operator==(const ValidationError&) const = default;
};

/// Reads the members of one JSON object and collects every error instead of
/// stopping at the first.
class FieldReader {
 public:
  /// `path` is that of `object` in the document. Errors are added to `errors`.
  FieldReader(const Json::Value& object,
              std::string path,
              std::vector<ValidationError>& errors);

  /// Adds an error for each member that was not read.
  ~FieldReader();

  FieldReader(const FieldReader&) = delete;
  FieldReader& operator=(const FieldReader&) = delete;

  /// Reads a required name of 1 to 64 letters, digits, dots, dashes or
  /// underscores; returns an empty string if the member is invalid.
  std::string ReadName(const char* field);

  /// Reads a required text of 1 to 256 characters; returns an empty string if
  /// the member is invalid.
  std::string ReadText(const char* field);

  /// Reads an optional integer in [min, max]; returns `fallback` if the member
  /// is missing or invalid.
  uint32_t ReadInteger(const char* field,
                       uint32_t fallback,
                       uint32_t min,
                       uint32_t max);

  /// Reads a required number that is greater than 0 and at most `max`; returns
  /// 1 if the member is invalid.
  double ReadPositive(const char* field, double max);

  /// Reads an optional boolean; returns `fallback` if the member is missing or
  /// invalid.
  bool ReadBool(const char* field, bool fallback);

  /// Reads an optional text that is one of `choices`; returns its index, or 0
  /// if the member is missing or invalid.
  size_t ReadChoice(const char* field, const std::vector<std::string>& choices);

  /// Calls `read(element, path)` for each element of an optional array.
  template <typename Read>
  void ForEachElement(const char* field, Read read) {
    const Json::Value& array = GetMember(field);
    if (array.isNull()) {
      return;
    }
    if (!array.isArray()) {
      AddError(field, "must be an array");
      return;
    }
    for (Json::ArrayIndex i = 0; i < array.size(); ++i) {
      read(array[i], PathOf(field) + "[" + std::to_string(i) + "]");
    }
  }

  /// Adds an error for a member.
  void AddError(const char* field, const std::string& reason);

 private:
  const Json::Value& GetMember(const char* field);
  std::string PathOf(const char* field) const;

  const Json::Value& m_object;
  std::string m_path;
  std::vector<ValidationError>& m_errors;
  std::set<std::string> m_read_fields;
};

}  // namespace foxtail
