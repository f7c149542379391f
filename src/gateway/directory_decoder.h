#pragma once

#include <optional>
#include <string>

#include "gateway/backend_server.h"
#include "gateway/rollout_records.h"
#include "routing/routing_config.h"
#include "store/table_store.h"

namespace foxtail {

/// Kind of a row in the operators' table.
enum class OperatorRowKind {
  kConfiguration,
  kEvacuation,
  kRollout,
  kOther,
};

/// Names the tables that operators and backend servers write, decodes their
/// rows, and encodes the rows that operators read.
class DirectoryDecoder {
 public:
  virtual ~DirectoryDecoder() = default;

  /// Returns the name of the table that operators write.
  virtual std::string OperatorTable() const = 0;

  /// Returns the name of the table in which backend servers register.
  virtual std::string ServerTable() const = 0;

  /// Returns the kind of an operators' row. Sets `subject` to the name of the
  /// data centre to be emptied for an evacuation, and of the service for a
  /// rollout.
  virtual OperatorRowKind ClassifyRow(const std::string& key,
                                      std::string& subject) const = 0;

  /// Throws `Error(kIntentInvalid)`.
  virtual RoutingConfig DecodeConfiguration(const std::string& value) const = 0;

  /// Throws `Error(kMessageMalformed)`.
  virtual BackendServerEntry DecodeServer(const std::string& key,
                                          const std::string& value) const = 0;

  /// Decodes the order of a rollout of `service`; its number is not set. Throws
  /// `Error(kIntentInvalid)`.
  virtual RolloutOrder DecodeRollout(const std::string& service,
                                     const std::string& value) const = 0;

  /// Returns the write of the row that tells operators of a rollout's state.
  /// Its expected version is not set.
  virtual RowWrite EncodeRolloutStatus(const RolloutRecord& record) const = 0;
};

}  // namespace foxtail
