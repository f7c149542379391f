#pragma once

#include <string>

#include "gateway/directory_decoder.h"
#include "gateway/gateway_tables.h"

namespace foxtail {

/// Applies rows of the watched tables to the control tables. If `complete`, the
/// rows are the whole table; otherwise they are changes.
class DirectorySystem {
 public:
  explicit DirectorySystem(const DirectoryDecoder& decoder)
      : m_decoder(decoder) {}

  void ApplyOperatorRows(GatewayTables& tables,
                         const std::vector<StoredRow>& rows,
                         bool complete,
                         const Now& now) const;
  void ApplyServerRows(GatewayTables& tables,
                       const std::vector<StoredRow>& rows,
                       bool complete,
                       const Now& now) const;
  void ApplyClusterRows(GatewayTables& tables,
                        const std::vector<StoredRow>& rows,
                        bool complete,
                        const Now& now) const;

  /// Deregisters servers whose registration stays missing after an outage, and
  /// removes deregistered servers that no range refers to. Drops members that
  /// have not registered in a new era of the store, and ends the time for which
  /// evacuations are kept in it.
  static void Run(GatewayTables& tables, const Now& now);

 private:
  void ApplyConfiguration(GatewayTables& tables, const StoredRow& row) const;

  void ApplyRollout(GatewayTables& tables,
                    const std::string& service,
                    const StoredRow& row,
                    bool complete,
                    const Now& now) const;

  /// Returns whether the row shows a server that was not registered before or
  /// that has started again.
  bool ApplyServer(GatewayTables& tables,
                   const StoredRow& row,
                   const Now& now) const;

  const DirectoryDecoder& m_decoder;
};

}  // namespace foxtail
