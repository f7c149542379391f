#include "store/table_record_repository.h"

#include <json/json.h>

#include "core/error.h"
#include "core/json.h"
#include "store/record_json.h"

namespace foxtail {

TableRecordRepository::TableRecordRepository(TableStore& store,
                                             Duration timeout)
    : m_store(store), m_timeout(timeout) {}

RowResult TableRecordRepository::Read(const RowKey& key) {
  RowResult result;
  const RowsResult rows = m_store.Read(key.m_table, key.m_key, m_timeout);
  if (rows.m_outcome != StoreOutcome::kDone) {
    return result;
  }
  if (rows.m_rows.empty()) {
    result.m_outcome = RowOutcome::kVersionMismatch;
    return result;
  }
  const StoredRow& row = rows.m_rows.front();
  try {
    result.m_value = RecordFromJson(ParseJson(row.m_value));
  } catch (const Json::Exception&) {
    return {};
  } catch (const Error&) {
    return {};
  }
  result.m_version = row.m_version;
  result.m_outcome = RowOutcome::kDone;
  return result;
}

RowResult TableRecordRepository::Write(const RowKey& key,
                                       uint64_t if_version,
                                       const RecordValue& value) {
  const WriteResult written = m_store.Write(
      {key.m_table, key.m_key, if_version, JsonText(RecordToJson(value))},
      m_timeout);
  RowResult result;
  result.m_version = written.m_version;
  if (written.m_outcome == StoreOutcome::kDone) {
    result.m_outcome = RowOutcome::kDone;
  } else if (written.m_outcome == StoreOutcome::kVersionMismatch) {
    result.m_outcome = RowOutcome::kVersionMismatch;
  }
  return result;
}

std::vector<std::string> TableRecordRepository::List(const std::string& table) {
  const RowsResult rows = m_store.Read(table, "", m_timeout);
  if (rows.m_outcome != StoreOutcome::kDone) {
    throw Error(ErrorCode::kPlatformUnavailable, table);
  }
  std::vector<std::string> keys;
  for (const StoredRow& row : rows.m_rows) {
    keys.push_back(row.m_key);
  }
  return keys;
}

}  // namespace foxtail
