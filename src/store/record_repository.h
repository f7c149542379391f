#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/records.h"

namespace foxtail {

/// Key of one row in the table store.
struct RowKey {
  std::string m_table;
  std::string m_key;

  auto operator<=>(const RowKey&) const = default;
};

/// Outcome of a read or write.
enum class RowOutcome {
  kDone,
  /// The row is missing (read) or has another version (write).
  kVersionMismatch,
  /// No usable response: a write may or may not have taken effect.
  kNoResponse,
};

/// Result of a read or write. `m_version` is 0 for a missing row.
struct RowResult {
  RowOutcome m_outcome = RowOutcome::kNoResponse;
  uint64_t m_version = 0;
  RecordValue m_value;
};

/// Reads and writes typed records in the platform's table store.
class RecordRepository {
 public:
  virtual ~RecordRepository() = default;

  /// Reads and decodes a row.
  virtual RowResult Read(const RowKey& key) = 0;

  /// Writes a row if its version is still `if_version` (0: only if the row is
  /// missing).
  virtual RowResult Write(const RowKey& key,
                          uint64_t if_version,
                          const RecordValue& value) = 0;

  /// Returns the keys of a table. Throws `Error(kPlatformUnavailable)`.
  virtual std::vector<std::string> List(const std::string& table) = 0;
};

}  // namespace foxtail
