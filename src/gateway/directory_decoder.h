#pragma once

#include <optional>
#include <string>

#include "gateway/backend_server.h"
#include "routing/routing_config.h"
#include "store/table_store.h"

namespace foxtail {

/// What a row of the operators' table means.
enum class OperatorRowKind {
  kConfiguration,
  kEvacuation,
  kOther,
};

/// Names and decodes the rows that operators and backend servers write.
class DirectoryDecoder {
 public:
  virtual ~DirectoryDecoder() = default;

  /// Table that operators write.
  virtual std::string OperatorTable() const = 0;

  /// Table in which backend servers register.
  virtual std::string ServerTable() const = 0;

  /// Tells what an operators' row is; for an evacuation, `data_centre` names
  /// the data centre that is to be empty.
  virtual OperatorRowKind ClassifyRow(const std::string& key,
                                      std::string& data_centre) const = 0;

  /// Decodes a configuration. Throws `Error(kIntentInvalid)`.
  virtual RoutingConfig DecodeConfiguration(const std::string& value) const = 0;

  /// Decodes a registration. Throws `Error(kMessageMalformed)`.
  virtual BackendServerEntry DecodeServer(const std::string& key,
                                          const std::string& value) const = 0;
};

}  // namespace foxtail
