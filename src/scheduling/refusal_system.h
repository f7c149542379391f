#pragma once

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Ends waiting requests that cannot be answered before their deadlines.
/// Answers overload: clients learn at once that their request did not run, and
/// no permit is spent on a response that nobody waits for.
class RefusalSystem {
 public:
  /// Judges the requests that have arrived since the last call, tells the hosts
  /// of the others that they wait, and judges all others every 50 ms.
  static void Run(PermitTables& tables, TimePoint now);

  /// Interval at which waiting requests are judged again.
  static constexpr std::chrono::milliseconds kInterval{50};

 private:
  static void JudgeNew(PermitTables& tables,
                       PermitQueueRow& queue,
                       TimePoint now);
  static void JudgeAll(PermitTables& tables,
                       PermitQueueRow& queue,
                       TimePoint now);
};

}  // namespace foxtail
