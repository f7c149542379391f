#include "gateway/server_control.h"

namespace foxtail {

std::string NameOf(const KeyRange& range) {
  return std::to_string(range.m_first) + "-" + std::to_string(range.m_last);
}

const char* NameOf(ServerCallOutcome outcome) {
  switch (outcome) {
    case ServerCallOutcome::kDone:
      return "done";
    case ServerCallOutcome::kFenced:
      return "fenced";
    case ServerCallOutcome::kRejected:
      return "rejected";
    case ServerCallOutcome::kGone:
      return "gone";
    case ServerCallOutcome::kReplaced:
      return "replaced";
    case ServerCallOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace foxtail
