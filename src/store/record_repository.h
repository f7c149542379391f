#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/records.h"

namespace foxtail {

/// Names one row of the platform's table service.
struct RowKey {
  std::string m_table;
  std::string m_key;

  auto operator<=>(const RowKey&) const = default;
};

/// How a read or write ended.
enum class RowOutcome {
  kDone,
  /// The row is missing (read) or has another version (write).
  kVersionMismatch,
  /// No answer: a write may or may not have taken effect.
  kNoResponse,
};

/// Result of a read or write. `m_version` is 0 for a missing row.
struct RowResult {
  RowOutcome m_outcome = RowOutcome::kNoResponse;
  uint64_t m_version = 0;
  RecordValue m_value;
};

/// The platform's transactional table service, as the project uses it.
class RecordRepository {
 public:
  virtual ~RecordRepository() = default;

  /// Reads a row.
  virtual RowResult Read(const RowKey& key) = 0;

  /// Writes a row if it still has `if_version` (0: only if it is missing).
  virtual RowResult Write(const RowKey& key,
                          uint64_t if_version,
                          const RecordValue& value) = 0;

  /// Returns the keys of a table. Throws `Error(kPlatformUnavailable)`.
  virtual std::vector<std::string> List(const std::string& table) = 0;
};

}  // namespace foxtail
