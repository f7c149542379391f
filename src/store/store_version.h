#pragma once

#include <cstdint>

#include "store/table_store.h"

namespace foxtail {

/// Low bits of a version of the store, which hold the store's own number. The
/// bits above hold the era, so that versions are ordered by era first. In era 0
/// a version is the store's number.
inline constexpr uint32_t kStoreVersionBits = 48;

/// Returns the version with this number in an era. Number 0 means that a row
/// does not exist.
uint64_t MakeStoreVersion(uint64_t era, uint64_t number);

uint64_t EraOfVersion(uint64_t version);
uint64_t NumberOfVersion(uint64_t version);

/// Returns the result of a watch after `after_version`, or a lost history if
/// the store has entered another era since.
RowsResult CheckEra(uint64_t after_version, RowsResult result);

/// Returns the result of a write, or an unknown outcome if the expected version
/// was of another era.
WriteResult CheckEra(const RowWrite& write, WriteResult result);

}  // namespace foxtail
