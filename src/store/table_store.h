#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "runtime/cancellation.h"

namespace foxtail {

/// Outcome of a call to the table store.
enum class StoreOutcome {
  kDone,
  /// A row had another version than the call required; nothing was written.
  kVersionMismatch,
  /// The store rejected the call because of the call rate; nothing was done.
  kRateLimited,
  /// The store could not be reached or rejected the call; nothing was done.
  kUnavailable,
  /// No readable response: a write may take effect, even seconds later.
  kUnknown,
  /// The store no longer keeps the changes since the given version.
  kHistoryLost,
};

/// Returns the outcome's name for logs.
const char* NameOf(StoreOutcome outcome);

/// Returns whether a result with this outcome shows the store's era.
bool ShowsEra(StoreOutcome outcome);

/// One row of a table.
struct StoredRow {
  std::string m_key;
  std::string m_value;

  /// Version of the row. Versions grow with each change of any row of the
  /// store, and with its era (`MakeStoreVersion`).
  uint64_t m_version = 0;

  /// Whether the row was removed; `m_value` is empty then.
  bool m_removed = false;
};

/// Result of a read or watch: rows of a table, and the store's version at the
/// moment of the read.
struct RowsResult {
  StoreOutcome m_outcome = StoreOutcome::kUnavailable;
  std::vector<StoredRow> m_rows;
  uint64_t m_version = 0;

  /// Era of the store, which rises when the store comes back from an old copy;
  /// 0 if the store says none. Only set if `ShowsEra`.
  uint64_t m_era = 0;

  /// Time of the read by the store's own steady clock, if the store says it.
  std::optional<Duration> m_store_time = {};
};

/// A conditional write or removal of one row.
struct RowWrite {
  std::string m_table;
  std::string m_key;

  /// Version the row must have; number 0 means that it must not exist.
  uint64_t m_expected_version = 0;

  /// New value; `std::nullopt` removes the row.
  std::optional<std::string> m_value;
};

/// Result of a write. `m_version` is the row's new version or, after
/// `kVersionMismatch`, the version that did not match.
struct WriteResult {
  StoreOutcome m_outcome = StoreOutcome::kUnavailable;
  uint64_t m_version = 0;

  /// Era of the store, as in `RowsResult`.
  uint64_t m_era = 0;
};

/// Transactional table store for all persistent state.
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// Reads all rows of a table as of one moment, or one row when `key` is set.
  virtual RowsResult Read(const std::string& table,
                          const std::string& key,
                          Duration timeout) = 0;

  /// Waits up to `wait` for changes after a version and returns them. Ends
  /// early without a result when `cancellation`, which may be null, is
  /// triggered. The history is lost if the era has changed since the version.
  virtual RowsResult Watch(
      const std::string& table,
      uint64_t after_version,
      Duration wait,
      const std::shared_ptr<Cancellation>& cancellation) = 0;

  /// Writes or removes one row if it has the expected version. If the era is
  /// another one than that of the expected version, the outcome is unknown.
  virtual WriteResult Write(const RowWrite& write, Duration timeout) = 0;
};

}  // namespace foxtail
