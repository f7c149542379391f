#include "store/table_store.h"

namespace foxtail {

const char* NameOf(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kVersionMismatch:
      return "mismatch";
    case StoreOutcome::kRateLimited:
      return "busy";
    case StoreOutcome::kUnavailable:
      return "unavailable";
    case StoreOutcome::kUnknown:
      return "unknown";
    case StoreOutcome::kHistoryLost:
      return "history_lost";
  }
  return "";
}

bool ShowsEra(StoreOutcome outcome) {
  return outcome == StoreOutcome::kDone ||
         outcome == StoreOutcome::kVersionMismatch ||
         outcome == StoreOutcome::kHistoryLost;
}

}  // namespace foxtail
