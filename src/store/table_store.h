#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace foxtail {

/// How a call to the table store ended.
enum class StoreOutcome {
  kDone,
  /// A row had another version than the call required; nothing was written.
  kVersionMismatch,
  /// The store refused the call for its rate; nothing was done.
  kRateLimited,
  /// The store could not be reached or refused; nothing was done.
  kUnavailable,
  /// No answer: a write may take effect, even seconds later.
  kUnknown,
  /// The changes since the given version are no longer kept.
  kHistoryLost,
};

/// Returns the outcome's name for logs.
const char* NameOf(StoreOutcome outcome);

/// One row of a table.
struct StoredRow {
  std::string m_key;
  std::string m_value;

  /// Version of the row; grows with each change of any row of the store.
  uint64_t m_version = 0;

  /// The row was removed.
  bool m_removed = false;
};

/// Rows of a table, and the store's version at that moment.
struct RowsResult {
  StoreOutcome m_outcome = StoreOutcome::kUnavailable;
  std::vector<StoredRow> m_rows;
  uint64_t m_version = 0;
};

/// A conditional write of one row.
struct RowWrite {
  std::string m_table;
  std::string m_key;

  /// Version the row must have; 0 means that it must not exist.
  uint64_t m_expected_version = 0;

  /// New value; nothing removes the row.
  std::optional<std::string> m_value;
};

/// Result of a write: the row's new version, or the one that did not match.
struct WriteResult {
  StoreOutcome m_outcome = StoreOutcome::kUnavailable;
  uint64_t m_version = 0;
};

/// The transactional table store that keeps everything that must last.
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// Reads all rows of a table as of one moment, or one row when `key` is set.
  virtual RowsResult Read(const std::string& table,
                          const std::string& key,
                          Duration timeout) = 0;

  /// Waits up to `wait` for changes after a version.
  virtual RowsResult Watch(const std::string& table,
                           uint64_t after,
                           Duration wait) = 0;

  /// Writes one row under a condition.
  virtual WriteResult Write(const RowWrite& write, Duration timeout) = 0;
};

}  // namespace foxtail
