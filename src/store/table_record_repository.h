#pragma once

#include "core/time.h"
#include "store/record_repository.h"
#include "store/table_store.h"

namespace foxtail {

/// Stores the control daemons' records in the table store as JSON.
class TableRecordRepository : public RecordRepository {
 public:
  /// `timeout` bounds each call; a response that arrives later is discarded.
  TableRecordRepository(TableStore& store, Duration timeout);

  RowResult Read(const RowKey& key) override;
  RowResult Write(const RowKey& key,
                  uint64_t if_version,
                  const RecordValue& value) override;
  std::vector<std::string> List(const std::string& table) override;

 private:
  TableStore& m_store;
  Duration m_timeout;
};

}  // namespace foxtail
