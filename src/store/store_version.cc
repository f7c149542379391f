#include "store/store_version.h"

namespace foxtail {
namespace {

constexpr uint64_t kNumberMask = (uint64_t{1} << kStoreVersionBits) - 1;

}  // namespace

uint64_t MakeStoreVersion(uint64_t era, uint64_t number) {
  return era == 0 ? number : era << kStoreVersionBits | (number & kNumberMask);
}

uint64_t EraOfVersion(uint64_t version) {
  return version >> kStoreVersionBits;
}

uint64_t NumberOfVersion(uint64_t version) {
  return version & kNumberMask;
}

RowsResult CheckEra(uint64_t after_version, RowsResult result) {
  if (result.m_outcome == StoreOutcome::kDone &&
      result.m_era > EraOfVersion(after_version)) {
    RowsResult lost;
    lost.m_outcome = StoreOutcome::kHistoryLost;
    lost.m_era = result.m_era;
    return lost;
  }
  return result;
}

// Version 0 is expected by callers that do not know the era.
WriteResult CheckEra(const RowWrite& write, WriteResult result) {
  if (result.m_outcome == StoreOutcome::kDone &&
      write.m_expected_version != 0 &&
      result.m_era != EraOfVersion(write.m_expected_version)) {
    result.m_outcome = StoreOutcome::kUnknown;
  }
  return result;
}

}  // namespace foxtail
