#pragma once

#include <optional>
#include <string>

#include "gateway/backend_server.h"
#include "routing/routing_config.h"
#include "store/table_store.h"

namespace foxtail {

/// Kind of a row in the operators' table.
enum class OperatorRowKind {
  kConfiguration,
  kEvacuation,
  kOther,
};

/// Names the tables that operators and backend servers write, and decodes their
/// rows.
class DirectoryDecoder {
 public:
  virtual ~DirectoryDecoder() = default;

  /// Returns the name of the table that operators write.
  virtual std::string OperatorTable() const = 0;

  /// Returns the name of the table in which backend servers register.
  virtual std::string ServerTable() const = 0;

  /// Returns the kind of an operators' row. For an evacuation, sets
  /// `data_centre` to the name of the data centre to be emptied.
  virtual OperatorRowKind ClassifyRow(const std::string& key,
                                      std::string& data_centre) const = 0;

  /// Throws `Error(kIntentInvalid)`.
  virtual RoutingConfig DecodeConfiguration(const std::string& value) const = 0;

  /// Throws `Error(kMessageMalformed)`.
  virtual BackendServerEntry DecodeServer(const std::string& key,
                                          const std::string& value) const = 0;
};

}  // namespace foxtail
