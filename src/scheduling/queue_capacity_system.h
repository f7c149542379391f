#pragma once

#include "scheduling/permit_tables.h"

namespace foxtail {

/// Measures what the servers of each queue can do: requests per second, time of
/// a request, and when they take requests again.
class QueueCapacitySystem {
 public:
  /// Updates all queues in which requests wait.
  static void Run(PermitTables& tables, TimePoint now);

  /// Updates one queue.
  static void Update(PermitTables& tables,
                     PermitQueueRow& queue,
                     TimePoint now);
};

}  // namespace foxtail
