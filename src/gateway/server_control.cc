#include "gateway/server_control.h"

namespace foxtail {

std::string NameOf(const KeyRange& range) {
  return std::to_string(range.m_first) + "-" + std::to_string(range.m_last);
}

const char* NameOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kGone:
      return "gone";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace foxtail
